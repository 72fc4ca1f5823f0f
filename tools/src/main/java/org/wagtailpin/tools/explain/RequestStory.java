package org.wagtailpin.tools.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** The events of one request over all entries, with what these believed at the time. */
final class RequestStory {

  private static final int MAX_EVENTS = 1_000;

  private final String request;
  private final Beliefs beliefs = new Beliefs();
  private final List<Told> events = new ArrayList<>();
  private final List<LogLine> ends = new ArrayList<>();

  /** An event and what its entry believed. */
  private record Told(LogLine line, String believed) {}

  RequestStory(String request) {
    this.request = request;
  }

  void take(LogLine line) {
    beliefs.note(line);
    if (line.request().equals(request) && events.size() < MAX_EVENTS) {
      events.add(new Told(line, believed(line)));
    }
    if (line.is("entry-started", "entry-left") && ends.size() < MAX_EVENTS) {
      ends.add(line);
    }
  }

  private String believed(LogLine line) {
    if (line.is("admitted", "unread", "refused")) {
      return beliefs.describe(line.entry(), line.timeMillis());
    }
    return line.fields().has("server")
        ? beliefs.describeServer(line.entry(), line.text("server"), line.timeMillis())
        : "";
  }

  /** Tells whether a line of the request was read. */
  boolean known() {
    return !events.isEmpty();
  }

  /** Returns the events in their order, one a line, each followed by what was believed. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    events.stream()
        .sorted(Comparator.comparingLong(told -> told.line().timeMillis()))
        .forEach(
            told -> {
              lines.add(told.line().fields().toString());
              if (!told.believed().isEmpty()) {
                lines.add("    believed: " + told.believed());
              }
            });
    return lines;
  }

  /** Returns the cause in a sentence. */
  String cause() {
    if (events.isEmpty()) {
      return "No line of this request: it is outside the sample of successful requests, no entry of"
          + " these logs read it, or it was in flight when one ended"
          + ends();
    }
    return new RequestCause(events.stream().map(Told::line).toList()).sentence();
  }

  private String ends() {
    Optional<LogLine> last = ends.stream().max(Comparator.comparingLong(LogLine::timeMillis));
    return last.map(
                line ->
                    " (last: "
                        + line.event()
                        + " of "
                        + line.entry()
                        + " at "
                        + line.timeMillis()
                        + ")")
            .orElse("")
        + ".";
  }
}
