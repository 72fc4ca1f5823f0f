package org.wagtailpin.registry;

import java.util.Locale;

/**
 * What a watch of the store waits for.
 *
 * @param awaits what it waits for
 * @param sinceMillis since when, by the monotonic clock
 */
public record WatchPhase(Awaits awaits, long sinceMillis) {

  /** What a watch of the store may wait for. */
  public enum Awaits {
    /** The answer to a list of all keys. */
    LIST,
    /** The answer to a watch for changes. */
    WATCH,
    /** The end of a pause before the next call. */
    PAUSE,
    /** Nothing: a result is processed, or no call will ever follow because of a fault. */
    NOTHING,
    /** Nothing, as the watch is stopped. */
    STOPPED;

    /** Returns the name used in metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
