package org.wagtailpin.call;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;

/** Event log that keeps all events, for tests to look at. */
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

  /** Returns the events of a kind in their order. */
  public List<Event> of(EventKind kind) {
    return events.stream().filter(event -> event.kind() == kind).toList();
  }

  /** Returns the requests that ended as failed. */
  public List<String> failed() {
    return failed;
  }
}
