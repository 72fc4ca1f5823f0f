package org.wagtailpin.tools.explain;

import java.util.List;
import java.util.Optional;

/** Describes in a sentence why a request ended as it did, from the events of the request. */
final class RequestCause {

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final List<LogLine> events;

  RequestCause(List<LogLine> events) {
    this.events = events;
  }

  String toSentence() {
    Optional<LogLine> unread = last("unread");
    if (unread.isPresent()) {
      return String.format(
          "The entry answered %s itself and sent the request to no server: %s.",
          unread.get().text("status"), unread.get().text("detail"));
    }
    Optional<LogLine> ended = last("ended");
    if (ended.isEmpty()) {
      return "The log ends before the request did: its entry was killed, or the log is incomplete.";
    }
    return switch (ended.get().text("outcome")) {
      case "answered" -> answered(ended.get());
      case "not-run" -> notRun(ended.get());
      case "unknown" -> unknown(ended.get());
      case "left" -> callerDisconnected(ended.get());
      case "broken" ->
          String.format(
              "The answer had begun and broke off, so the connection was closed: %s.",
              ended.get().text("detail"));
      default -> "The answer of an earlier request with the same idempotency key was returned.";
    };
  }

  private String answered(LogLine ended) {
    String server = last("attempt").map(line -> line.text("server")).orElse("a server");
    int status = ended.fields().path("status").asInt();
    String sentence =
        String.format(
            "Server %s answered with status %d, %s ms after the request arrived.",
            server, status, ended.text("latencyMillis"));
    return status < MIN_SERVER_ERROR_STATUS
        ? sentence
        : sentence + " The failure was reported by the server itself.";
  }

  private String notRun(LogLine ended) {
    Optional<LogLine> refused = last("refused");
    String reason =
        refused
            .map(
                line ->
                    String.format(
                        "no server was chosen, by the rule %s after %s ms in the queue",
                        line.text("rule"), line.text("queuedMillis")))
            .orElseGet(() -> "it ended at " + ended.text("step") + ": " + ended.text("detail"));
    return String.format(
        "Status %s: the request was not run; %s%s.",
        ended.text("status"), reason, earlierAttempts());
  }

  private String unknown(LogLine ended) {
    String attempt =
        lastAttempt("unknown")
            .map(
                line ->
                    String.format(
                        "server %s was sent it and gave no whole answer within %s ms (%s)",
                        line.text("server"), line.text("latencyMillis"), line.text("detail")))
            .orElse("it ended at " + ended.text("step") + ": " + ended.text("detail"));
    return String.format(
        "Status %s: it is not known whether the request ran; %s%s.",
        ended.text("status"), attempt, retryRefusal());
  }

  private String callerDisconnected(LogLine ended) {
    String where =
        last("placed")
            .map(line -> "while server " + line.text("server") + " had the request")
            .orElse("");
    return String.format(
        "The caller closed its connection %s ms after the request arrived %s; no answer was due%s.",
        ended.text("latencyMillis"),
        where.isEmpty() ? "and before a server was chosen" : where,
        earlierAttempts());
  }

  private String earlierAttempts() {
    long attempts = events.stream().filter(line -> line.isEvent("attempt")).count();
    return attempts == 0 ? "" : String.format(", after %d attempts%s", attempts, retryRefusal());
  }

  private String retryRefusal() {
    return last("not-repeated")
        .map(line -> "; it was not sent again by the rule " + line.text("rule"))
        .orElse("");
  }

  private Optional<LogLine> last(String event) {
    return events.stream().filter(line -> line.isEvent(event)).reduce((first, second) -> second);
  }

  private Optional<LogLine> lastAttempt(String outcome) {
    return events.stream()
        .filter(line -> line.isEvent("attempt") && line.text("outcome").equals(outcome))
        .reduce((first, second) -> second);
  }
}
