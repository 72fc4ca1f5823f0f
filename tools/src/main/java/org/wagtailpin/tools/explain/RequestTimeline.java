package org.wagtailpin.tools.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** The events of one request at all entries, with the state that each entry saw at the time. */
final class RequestTimeline {

  private static final int MAX_EVENTS = 1_000;

  private final String request;
  private final EntryStateHistory entryStates = new EntryStateHistory();
  private final List<TimelineEvent> events = new ArrayList<>();
  private final List<LogLine> entryLifecycleEvents = new ArrayList<>();

  /** An event and a description of the state that its entry saw, empty if none applies. */
  private record TimelineEvent(LogLine line, String entryState) {}

  RequestTimeline(String request) {
    this.request = request;
  }

  void recordEvent(LogLine line) {
    entryStates.recordChange(line);
    if (line.request().equals(request) && events.size() < MAX_EVENTS) {
      events.add(new TimelineEvent(line, describeEntryState(line)));
    }
    if (line.isEvent("entry-started", "entry-left") && entryLifecycleEvents.size() < MAX_EVENTS) {
      entryLifecycleEvents.add(line);
    }
  }

  private String describeEntryState(LogLine line) {
    if (line.isEvent("admitted", "unread", "refused")) {
      return entryStates.describe(line.entry(), line.timeMillis());
    }
    return line.fields().has("server")
        ? entryStates.describeServer(line.entry(), line.text("server"), line.timeMillis())
        : "";
  }

  /** Returns whether an event of the request was recorded. */
  boolean hasEvents() {
    return !events.isEmpty();
  }

  /** Returns the events in order of time, each followed by the state that its entry saw. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    events.stream()
        .sorted(Comparator.comparingLong(timelineEvent -> timelineEvent.line().timeMillis()))
        .forEach(
            timelineEvent -> {
              lines.add(timelineEvent.line().fields().toString());
              if (!timelineEvent.entryState().isEmpty()) {
                lines.add("    believed: " + timelineEvent.entryState());
              }
            });
    return lines;
  }

  /** Returns a sentence that says why the request ended as it did. */
  String cause() {
    if (events.isEmpty()) {
      return "No line of this request: it is outside the sample of successful requests, no entry of"
          + " these logs read it, or it was in flight when one ended"
          + describeLastLifecycleEvent();
    }
    return new RequestCause(events.stream().map(TimelineEvent::line).toList()).toSentence();
  }

  private String describeLastLifecycleEvent() {
    Optional<LogLine> last =
        entryLifecycleEvents.stream().max(Comparator.comparingLong(LogLine::timeMillis));
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
