package org.wagtailpin.routing;

/**
 * What a server states about itself in an answer, beside its load and its limit.
 *
 * @param leaving whether it states that it is leaving
 * @param pauseMillis for how long it wants no requests, in milliseconds, 0 if it does not say so
 */
public record ServerNotice(boolean leaving, double pauseMillis) {

  /** Returns the notice of an answer that states nothing. */
  public static ServerNotice none() {
    return new ServerNotice(false, 0);
  }
}
