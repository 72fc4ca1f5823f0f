package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.wagtailpin.limits.MovingAverage;

/**
 * What one entry has seen of a server's answers: how many failed, how much slower than usual they
 * came, and how far its load reports can be believed. What is bad is forgotten with time, so that a
 * server which gets no work for it is tried again. Safe for all threads and without locks.
 */
final class ServerHealth {

  private static final double FAILURE_GAIN = 0.2;
  private static final double SLOWNESS_GAIN = 0.3;
  private static final double TRUST_GAIN = 0.05;
  private static final double MOST_SLOWNESS = 20;
  private static final double QUICK_ANSWER = 3;
  private static final double LEAST_EXPECTED_MILLIS = 0.1;
  private static final double LEAST_FAILURE_SHARE = 0.02;
  private static final double FIRST_RAMP_SHARE = 0.1;
  private static final int MOST_PAUSE_DOUBLINGS = 8;

  private final MovingAverage failures = new MovingAverage(FAILURE_GAIN);
  private final MovingAverage slowness = new MovingAverage(SLOWNESS_GAIN);
  private final MovingAverage trust = new MovingAverage(TRUST_GAIN);
  private final AtomicLong ejectedUntil = new AtomicLong(Long.MIN_VALUE);
  private final AtomicInteger refusalsInRow = new AtomicInteger();
  private volatile long pausedUntil = Long.MIN_VALUE;
  private volatile long rampStart;
  private volatile double lastRatio = 1;
  private volatile double lastAnswer = Double.NEGATIVE_INFINITY;

  /**
   * Creates a clean record.
   *
   * @param rampStartMillis when the server began to take work
   */
  ServerHealth(long rampStartMillis) {
    this.rampStart = rampStartMillis;
    failures.reset(0);
    slowness.reset(1);
    trust.reset(1);
  }

  /**
   * Learns from an answer.
   *
   * @param serviceMillis the time it took without the trips
   * @param expectedMillis what was expected of the route
   * @param nowMillis the time
   * @param forgetMillis the time over which what is bad is forgotten
   */
  void succeeded(
      double serviceMillis, double expectedMillis, double nowMillis, double forgetMillis) {
    fade(nowMillis, forgetMillis);
    failures.add(0);
    refusalsInRow.set(0);
    slow(ratio(serviceMillis, expectedMillis));
  }

  /** Writes down what is left of the past, before something new is added to it. */
  private void fade(double nowMillis, double forgetMillis) {
    double left = remembered(nowMillis, forgetMillis);
    failures.reset(failures.orElse(0) * left);
    slowness.reset(1 + (slowness.orElse(1) - 1) * left);
    lastRatio = 1 + (lastRatio - 1) * left;
    lastAnswer = nowMillis;
  }

  /** A single long answer may be a straggler: only what two answers in a row show counts. */
  private void slow(double ratio) {
    slowness.add(Math.min(ratio, lastRatio));
    lastRatio = ratio;
  }

  private static double ratio(double serviceMillis, double expectedMillis) {
    return Math.min(MOST_SLOWNESS, serviceMillis / Math.max(LEAST_EXPECTED_MILLIS, expectedMillis));
  }

  /** Learns from an attempt that was given up: it would have taken at least as long. */
  void gaveUp(double serviceMillis, double expectedMillis, double nowMillis, double forgetMillis) {
    if (serviceMillis > expectedMillis) {
      fade(nowMillis, forgetMillis);
      slow(ratio(serviceMillis, expectedMillis));
    }
  }

  /** Learns whether a report of a free slot came with an answer as quick as a free slot gives. */
  void claimedFree(double serviceMillis, double expectedMillis) {
    trust.add(ratio(serviceMillis, expectedMillis) > QUICK_ANSWER ? 0 : 1);
  }

  void failed(double nowMillis, double forgetMillis) {
    fade(nowMillis, forgetMillis);
    failures.add(1);
  }

  /** Keeps work away for a while that doubles with each refusal in a row. */
  void refused(long nowMillis, double pauseMillis) {
    int doublings = Math.min(MOST_PAUSE_DOUBLINGS, refusalsInRow.getAndIncrement());
    pausedUntil = nowMillis + (long) (pauseMillis * (1L << doublings));
  }

  double failureShare(double nowMillis, double forgetMillis) {
    double share = failures.orElse(0) * remembered(nowMillis, forgetMillis);
    return share < LEAST_FAILURE_SHARE ? 0 : share;
  }

  /** Returns how many times longer than usual its answers take; 1 below what is tolerated. */
  double slowness(double nowMillis, double forgetMillis, double tolerated) {
    double over = Math.max(0, slowness.orElse(1) - 1);
    double now = 1 + over * remembered(nowMillis, forgetMillis);
    return now < tolerated ? 1 : now;
  }

  private double remembered(double nowMillis, double forgetMillis) {
    return Math.exp((lastAnswer - nowMillis) / forgetMillis);
  }

  double trust() {
    return trust.orElse(1);
  }

  boolean ejected(long nowMillis) {
    return nowMillis < ejectedUntil.get();
  }

  boolean paused(long nowMillis) {
    return nowMillis < pausedUntil;
  }

  /** Ejects the server until a time; it then returns by a ramp, with half its failures forgiven. */
  void eject(long untilMillis) {
    ejectedUntil.set(untilMillis);
    rampStart = untilMillis;
    failures.reset(failures.orElse(0) / 2);
  }

  /** Returns the share of its usual work that the server gets while it warms up, up to 1. */
  double rampShare(long nowMillis, double rampMillis) {
    double elapsed = nowMillis - rampStart;
    if (elapsed >= rampMillis) {
      return 1;
    }
    return Math.max(FIRST_RAMP_SHARE, elapsed / rampMillis);
  }
}
