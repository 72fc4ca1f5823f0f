package org.wagtailpin.eventlog;

/** Log of an entry's events. Thread-safe; never blocks, and drops events instead. */
public interface EventLog {

  /**
   * Starts to buffer the events of a request.
   *
   * @param request the request's identifier
   */
  void begin(String request);

  /** Records an event. Events of a request that has begun are buffered until the request ends. */
  void recordEvent(Event event);

  /**
   * Ends a request and decides whether its buffered events are written. Does nothing if the request
   * has not begun.
   *
   * @param request the request's identifier
   * @param failed whether the caller received anything other than the answer of a backend server
   */
  void end(String request, boolean failed);
}
