package org.wagtailpin.limits;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;

/**
 * Lets callers come back when the work ahead of them is expected to be done so far that they are
 * accepted, one after another at the pace at which slots become free.
 *
 * <p>For crests, in which many callers of one service are refused within a moment: each of them is
 * given a time of its own after those that were refused before it. The more urgent a request is,
 * the less work is ahead of it, so the sooner its caller comes back. A caller that must finish soon
 * is not sent away for longer than a part of the time that it has left. Callers of a customer that
 * exceeds its share have a line of their own, at the pace of that share. Thread-safe.
 */
public final class BacklogReturnTime implements ReturnTime {

  private static final long MIN_MILLIS = 100;
  private static final long MAX_MILLIS = 2_000;
  private static final double MAX_REMAINING_SHARE = 0.25;

  /** The share of the longest time from which on callers that find no time of their own return. */
  private static final double LATE_SHARE = 0.5;

  /** From how many lines on those are forgotten whose last caller is due. */
  private static final int MIN_FORGET_LINES = 1_024;

  private record Line(String service, int priority, Optional<String> customer) {}

  private final Clock clock;
  private final UniformRandomProvider random;
  private final ConcurrentHashMap<Line, Double> lastReturns = new ConcurrentHashMap<>();

  /**
   * Creates a policy.
   *
   * @param clock the clock
   * @param random spreads callers, safe for all threads that use the policy
   */
  public BacklogReturnTime(Clock clock, UniformRandomProvider random) {
    this.clock = clock;
    this.random = random;
  }

  @Override
  public long millis(Backlog backlog) {
    double now = clock.exactMillis();
    double excessMillis = backlog.waitMillis() - backlog.acceptedWaitMillis();
    double knownMillis = Double.isFinite(excessMillis) ? excessMillis : MIN_MILLIS;
    double earliest = now + Math.max(MIN_MILLIS, knownMillis);
    double maxMillis =
        Math.max(1, Math.min(MAX_MILLIS, backlog.remainingMillis() * MAX_REMAINING_SHARE));
    double paceMillis =
        Double.isFinite(backlog.millisPerCall()) ? Math.max(0, backlog.millisPerCall()) : 0;
    forgetDue(now);
    double time =
        lastReturns.compute(
            new Line(backlog.service(), backlog.priority(), backlog.customer()),
            (line, last) -> nextReturn(last, earliest, paceMillis, now + MAX_MILLIS));
    double millis = time - now + paceMillis * random.nextDouble();
    if (millis > maxMillis) {
      millis = maxMillis * (LATE_SHARE + (1 - LATE_SHARE) * random.nextDouble());
    }
    return Math.max(1, (long) millis);
  }

  private void forgetDue(double now) {
    if (lastReturns.size() > MIN_FORGET_LINES) {
      lastReturns.values().removeIf(last -> last < now);
    }
  }

  private static double nextReturn(Double last, double earliest, double paceMillis, double latest) {
    double next = last == null ? earliest : Math.max(earliest, last + paceMillis);
    return Math.min(next, latest);
  }
}
