package org.wagtailpin.eventlog;

/** Event log that discards all events, for programs that embed components without a log. */
public final class NoOpEventLog implements EventLog {

  @Override
  public void begin(String request) {}

  @Override
  public void recordEvent(Event event) {}

  @Override
  public void end(String request, boolean failed) {}
}
