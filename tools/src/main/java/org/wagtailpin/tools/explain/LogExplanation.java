package org.wagtailpin.tools.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Explains one request from event logs, or counts all failures in them. */
public final class LogExplanation {

  private final LogReader reader = new LogReader();
  private final Optional<RequestTimeline> timeline;
  private final FailureSummary failures = new FailureSummary();

  private LogExplanation(Optional<RequestTimeline> timeline) {
    this.timeline = timeline;
  }

  /**
   * Creates an explanation of one request.
   *
   * @param request its identifier, as the caller sent it
   */
  public static LogExplanation ofRequest(String request) {
    return new LogExplanation(Optional.of(new RequestTimeline(request)));
  }

  /** Creates an explanation that counts all failures by cause. */
  public static LogExplanation ofFailures() {
    return new LogExplanation(Optional.empty());
  }

  /**
   * Reads a log to its end. Can be called once for each log.
   *
   * @param log the log of one or several entries
   * @throws IOException if the log cannot be read
   */
  public void read(BufferedReader log) throws IOException {
    reader.read(
        log,
        line ->
            timeline.ifPresentOrElse(s -> s.recordEvent(line), () -> failures.recordEvent(line)));
  }

  /** Returns how many lines were not a JSON object or were too long. */
  public long unreadableLines() {
    return reader.unreadableLines();
  }

  /** Returns whether the logs hold an event of the request; always true if failures are counted. */
  public boolean found() {
    return timeline.map(RequestTimeline::hasEvents).orElse(true);
  }

  /** Returns the request's events in order of time and the cause, or the counts of failures. */
  public List<String> lines() {
    if (timeline.isEmpty()) {
      return failures.lines();
    }
    List<String> lines = new ArrayList<>(timeline.get().lines());
    lines.add("cause: " + timeline.get().cause());
    return lines;
  }
}
