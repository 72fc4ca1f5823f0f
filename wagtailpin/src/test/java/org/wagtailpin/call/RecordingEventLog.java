package org.wagtailpin.call;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;

/** Event log that records all events in memory for tests. */
public final class RecordingEventLog implements EventLog {

  private final List<Event> events = new CopyOnWriteArrayList<>();
  private final List<String> failed = new CopyOnWriteArrayList<>();

  @Override
  public void begin(String request) {}

  @Override
  public void recordEvent(Event event) {
    events.add(event);
  }

  @Override
  public void end(String request, boolean hasFailed) {
    if (hasFailed) {
      failed.add(request);
    }
  }

  /** Returns the events of a kind, in the order in which they were recorded. */
  public List<Event> of(EventKind kind) {
    return events.stream().filter(event -> event.kind() == kind).toList();
  }

  /** Returns the identifiers of the requests that failed. */
  public List<String> failed() {
    return failed;
  }
}
