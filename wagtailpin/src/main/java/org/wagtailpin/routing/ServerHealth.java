package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.wagtailpin.limits.MovingAverage;

/**
 * An entry's record of a server's answers: the share that failed, how much slower than expected
 * they were, and how reliable the server's load reports are. Bad results decay with time, so that a
 * server that gets no work because of them is tried again. Safe for all threads, without locks.
 */
final class ServerHealth {

  private static final double FAILURE_SMOOTHING_FACTOR = 0.2;
  private static final double SLOWNESS_SMOOTHING_FACTOR = 0.3;
  private static final double TRUST_SMOOTHING_FACTOR = 0.05;
  private static final double MAX_SLOWNESS = 20;

  /** Highest ratio of measured to expected time that confirms a report of a free slot. */
  private static final double MAX_FREE_SLOT_RATIO = 3;

  private static final double MIN_EXPECTED_MILLIS = 0.1;
  private static final double MIN_FAILURE_SHARE = 0.02;
  private static final double MIN_RAMP_SHARE = 0.1;
  private static final int MAX_PAUSE_DOUBLINGS = 8;

  private final MovingAverage failures = new MovingAverage(FAILURE_SMOOTHING_FACTOR);
  private final MovingAverage slowness = new MovingAverage(SLOWNESS_SMOOTHING_FACTOR);
  private final MovingAverage reportTrust = new MovingAverage(TRUST_SMOOTHING_FACTOR);
  private final AtomicLong ejectedUntilMillis = new AtomicLong(Long.MIN_VALUE);
  private final AtomicInteger consecutiveRefusals = new AtomicInteger();
  private volatile long pausedUntilMillis = Long.MIN_VALUE;
  private volatile long rampStartedAtMillis;
  private volatile double lastRatio = 1;
  private volatile double lastAnswerMillis = Double.NEGATIVE_INFINITY;

  /**
   * Creates a record without failures.
   *
   * @param rampStartMillis when the server began to take work
   */
  ServerHealth(long rampStartMillis) {
    this.rampStartedAtMillis = rampStartMillis;
    failures.reset(0);
    slowness.reset(1);
    reportTrust.reset(1);
  }

  /**
   * Records an answer.
   *
   * @param serviceMillis the latency without the network delay
   * @param expectedMillis the expected time of the route
   * @param nowMillis the current time
   * @param forgetMillis the time constant with which bad results decay
   */
  void recordSuccess(
      double serviceMillis, double expectedMillis, double nowMillis, double forgetMillis) {
    applyDecay(nowMillis, forgetMillis);
    failures.add(0);
    consecutiveRefusals.set(0);
    recordRatio(ratio(serviceMillis, expectedMillis));
  }

  /** Applies the decay since the last result, before a new result is added. */
  private void applyDecay(double nowMillis, double forgetMillis) {
    double factor = decayFactor(nowMillis, forgetMillis);
    failures.reset(failures.orElse(0) * factor);
    slowness.reset(1 + (slowness.orElse(1) - 1) * factor);
    lastRatio = 1 + (lastRatio - 1) * factor;
    lastAnswerMillis = nowMillis;
  }

  /** Adds the lower of the last two ratios, as a single long answer may be a straggler. */
  private void recordRatio(double ratio) {
    slowness.add(Math.min(ratio, lastRatio));
    lastRatio = ratio;
  }

  private static double ratio(double serviceMillis, double expectedMillis) {
    return Math.min(MAX_SLOWNESS, serviceMillis / Math.max(MIN_EXPECTED_MILLIS, expectedMillis));
  }

  /** Records an attempt that was abandoned, which would have taken at least this long. */
  void recordAbandoned(
      double serviceMillis, double expectedMillis, double nowMillis, double forgetMillis) {
    if (serviceMillis > expectedMillis) {
      applyDecay(nowMillis, forgetMillis);
      recordRatio(ratio(serviceMillis, expectedMillis));
    }
  }

  /** Records whether a report of a free slot came with an answer as fast as a free slot allows. */
  void recordReportAccuracy(double serviceMillis, double expectedMillis) {
    reportTrust.add(ratio(serviceMillis, expectedMillis) > MAX_FREE_SLOT_RATIO ? 0 : 1);
  }

  void recordFailure(double nowMillis, double forgetMillis) {
    applyDecay(nowMillis, forgetMillis);
    failures.add(1);
  }

  /** Pauses the server for a time that doubles with each consecutive refusal. */
  void recordRefusal(long nowMillis, double pauseMillis) {
    int doublings = Math.min(MAX_PAUSE_DOUBLINGS, consecutiveRefusals.getAndIncrement());
    pausedUntilMillis = nowMillis + (long) (pauseMillis * (1L << doublings));
  }

  double failureShare(double nowMillis, double forgetMillis) {
    double share = failures.orElse(0) * decayFactor(nowMillis, forgetMillis);
    return share < MIN_FAILURE_SHARE ? 0 : share;
  }

  /** Returns the factor by which its answers are slow; 1 below the tolerated factor. */
  double slowness(double nowMillis, double forgetMillis, double toleratedSlowness) {
    double excess = Math.max(0, slowness.orElse(1) - 1);
    double current = 1 + excess * decayFactor(nowMillis, forgetMillis);
    return current < toleratedSlowness ? 1 : current;
  }

  private double decayFactor(double nowMillis, double forgetMillis) {
    return Math.exp((lastAnswerMillis - nowMillis) / forgetMillis);
  }

  double reportTrust() {
    return reportTrust.orElse(1);
  }

  boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntilMillis.get();
  }

  /** Returns the end of the last ejection, {@link Long#MIN_VALUE} if there was none. */
  long ejectedUntilMillis() {
    return ejectedUntilMillis.get();
  }

  /** Returns the end of the pause after the last refusal, {@link Long#MIN_VALUE} if none. */
  long pausedUntilMillis() {
    return pausedUntilMillis;
  }

  /** Ejects the server until a time, from which its work ramps up, and halves its failure share. */
  void eject(long untilMillis) {
    ejectedUntilMillis.set(untilMillis);
    rampStartedAtMillis = untilMillis;
    failures.reset(failures.orElse(0) / 2);
  }

  /** Has the server's work ramp up from a time on. */
  void rampFrom(long startMillis) {
    rampStartedAtMillis = startMillis;
  }

  /** Returns the share of its usual work that the server gets while it ramps up, at most 1. */
  double rampShare(long nowMillis, double rampMillis) {
    return rampShare((double) (nowMillis - rampStartedAtMillis), rampMillis);
  }

  /** Returns the share of its usual work that a server gets at a time after its return. */
  static double rampShare(double elapsedMillis, double rampMillis) {
    if (elapsedMillis >= rampMillis) {
      return 1;
    }
    return Math.max(MIN_RAMP_SHARE, elapsedMillis / rampMillis);
  }
}
