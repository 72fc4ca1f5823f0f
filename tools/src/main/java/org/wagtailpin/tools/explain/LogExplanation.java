package org.wagtailpin.tools.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** What logs tell of a request, or of all failures. */
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

  /** Creates a count of all failures. */
  public static LogExplanation ofFailures() {
    return new LogExplanation(Optional.empty());
  }

  /**
   * Reads a log to its end.
   *
   * @param log the log of one entry or of several
   * @throws IOException if it can't be read
   */
  public void read(BufferedReader log) throws IOException {
    reader.read(
        log,
        line ->
            timeline.ifPresentOrElse(s -> s.recordEvent(line), () -> failures.recordEvent(line)));
  }

  /** Returns how many lines could not be read. */
  public long unreadableLines() {
    return reader.unreadableLines();
  }

  /** Tells whether a line of the request was read; failures are always counted. */
  public boolean found() {
    return timeline.map(RequestTimeline::hasEvents).orElse(true);
  }

  /** Returns the lines to show: the request's events in their order and the cause, or counts. */
  public List<String> lines() {
    if (timeline.isEmpty()) {
      return failures.lines();
    }
    List<String> lines = new ArrayList<>(timeline.get().lines());
    lines.add("cause: " + timeline.get().cause());
    return lines;
  }
}
