package org.wagtailpin.routing;

/** What an answer of a backend server states of the requests that the server takes. */
public sealed interface LimitStatement {

  /**
   * The server takes requests up to a rate, from all entries together, for as long as it says so.
   *
   * @param perSecond the rate, in requests per second, at least 0
   */
  record Limited(double perSecond) implements LimitStatement {}

  /** The server answered and named no limit. */
  record Unlimited() implements LimitStatement {}

  /** There was no answer of the server, or none by which a limit begins or ends. */
  record Unknown() implements LimitStatement {}
}
