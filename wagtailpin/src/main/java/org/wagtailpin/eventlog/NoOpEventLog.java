package org.wagtailpin.eventlog;

/** Event log that keeps nothing, for programs that embed parts without a log. */
public final class NoOpEventLog implements EventLog {

  @Override
  public void begin(String request) {}

  @Override
  public void recordEvent(Event event) {}

  @Override
  public void end(String request, boolean failed) {}
}
