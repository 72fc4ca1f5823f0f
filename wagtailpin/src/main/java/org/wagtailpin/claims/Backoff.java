package org.wagtailpin.claims;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exponential backoff between consecutive failures: the full delay doubles up to a maximum, and
 * each returned delay is drawn from its upper half.
 */
final class Backoff {

  private static final long INITIAL_MILLIS = 50;
  private static final long MAX_MILLIS = 3_000;
  private static final int MAX_DOUBLINGS = 6;

  private final UniformRandomProvider random;
  private int failures;

  Backoff(UniformRandomProvider random) {
    this.random = random;
  }

  void reset() {
    failures = 0;
  }

  /** Counts one more failure and returns the delay before the next try, in milliseconds. */
  long nextMillis() {
    long fullMillis = Math.min(MAX_MILLIS, INITIAL_MILLIS << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return fullMillis / 2 + random.nextLong(fullMillis / 2 + 1);
  }
}
