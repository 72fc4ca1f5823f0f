package org.wagtailpin.fleet;

/**
 * Intervals and time-outs of a fleet whose entries follow watchers of the store.
 *
 * @param beatMillis the time between two messages of a follower to its watcher, in milliseconds
 * @param silenceMillis after how long a silence the watcher is replaced, in milliseconds
 * @param rankStepMillis how much longer each further entry in the order of succession waits before
 *     it replaces the watcher, in milliseconds
 * @param firstWaitMillis how long a starting entry looks for a watcher before it watches the store
 *     itself, in milliseconds
 * @param challengeStepMillis the same step while the watcher answers but has lost the store, in
 *     milliseconds
 * @param pingMillis the time between a watcher's tests of whether the store answers, in
 *     milliseconds
 * @param pingTimeoutMillis how long the answer of such a test is awaited, in milliseconds
 * @param exchangeMillis the time between two exchanges of a watcher with others, in milliseconds
 * @param batchMillis how long changes in the store are gathered after a first one, in milliseconds
 */
public record FleetTiming(
    long beatMillis,
    long silenceMillis,
    long rankStepMillis,
    long firstWaitMillis,
    long challengeStepMillis,
    long pingMillis,
    long pingTimeoutMillis,
    long exchangeMillis,
    long batchMillis) {

  private static final long MIN_PROPAGATION_MILLIS = 500;
  private static final long MAX_PROPAGATION_MILLIS = 4_000;
  private static final double BEAT_SHARE = 0.22;
  private static final double SILENCE_SHARE = 0.5;
  private static final double BATCH_SHARE = 0.45;
  private static final long RANK_STEP_MILLIS = 100;
  private static final long RESTART_WAIT_MILLIS = 250;
  private static final long FIRST_START_WAIT_MILLIS = 2_000;
  private static final long CHALLENGE_STEP_MILLIS = 700;
  private static final long PING_MILLIS_PER_DOMAIN = 200;
  private static final long MAX_PING_MILLIS = 1_200;
  private static final long PING_TIMEOUT_MILLIS = 700;
  private static final long EXCHANGE_MILLIS = 5_000;

  /**
   * Returns timing by which a change in the store reaches all entries in time, also if a watcher is
   * lost at that moment.
   *
   * @param propagationMillis how soon a change must be in force everywhere, in milliseconds
   * @param domains the number of failure domains, at least 1. The fewer there are, the more often
   *     each watcher tests the store: a lone one has no other that passes a change on.
   * @param firstStart whether all entries start for the first time, so that nobody has a
   *     configuration yet and nobody waits for one
   */
  public static FleetTiming within(long propagationMillis, int domains, boolean firstStart) {
    long bound =
        Math.max(MIN_PROPAGATION_MILLIS, Math.min(MAX_PROPAGATION_MILLIS, propagationMillis));
    return new FleetTiming(
        (long) (bound * BEAT_SHARE),
        (long) (bound * SILENCE_SHARE),
        RANK_STEP_MILLIS,
        firstStart ? FIRST_START_WAIT_MILLIS : RESTART_WAIT_MILLIS,
        CHALLENGE_STEP_MILLIS,
        Math.min(MAX_PING_MILLIS, PING_MILLIS_PER_DOMAIN * domains),
        PING_TIMEOUT_MILLIS,
        EXCHANGE_MILLIS,
        (long) (bound * BATCH_SHARE));
  }
}
