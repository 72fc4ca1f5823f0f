package org.wagtailpin.eventlog;

/** Takes events. Safe for all threads; never blocks, and drops events rather than wait. */
public interface EventLog {

  /**
   * Begins to gather the events of a request.
   *
   * @param request its identifier
   */
  void begin(String request);

  /** Notes an event; one of a request that has begun is kept until the request ends. */
  void recordEvent(Event event);

  /**
   * Ends a request.
   *
   * @param request its identifier
   * @param failed whether its caller got something other than the answer of a server
   */
  void end(String request, boolean failed);
}
