package org.wagtailpin.budget;

import org.wagtailpin.clock.Clock;

/**
 * The time for which a holder may accrue units: it advances only while this entry holds the share
 * of its domain, in proportion to the entries that follow it, and not while the process stands
 * still. Not thread-safe.
 *
 * <p>So that the units of several holders of one domain add up to its share, whichever of them are
 * cut off from one another.
 */
final class CreditClock {

  /** The interval at which {@link #advance} is to be called. */
  static final long TICK_MILLIS = 100;

  /** A silence of the control loop after which another entry may have become the holder. */
  static final double STALL_MILLIS = 500;

  private static final double MAX_STEP_MILLIS = 250;

  /** Only one holder of a domain can be followed by most of its entries. */
  private static final double MAJORITY = 0.5;

  private final BudgetPeers peers;
  private final Clock clock;
  private double lastMillis;
  private double creditMillis;
  private double share;

  CreditClock(BudgetPeers peers, Clock clock) {
    this.peers = peers;
    this.clock = clock;
    this.lastMillis = clock.exactMillis();
  }

  /**
   * Advances to the current time.
   *
   * @return whether the process stood still since the last call, so that saved units are void
   */
  boolean advance() {
    double now = clock.exactMillis();
    double elapsed = now - lastMillis;
    lastMillis = now;
    creditMillis += Math.max(0, Math.min(elapsed, MAX_STEP_MILLIS)) * share;
    share = peers.holding() ? peers.followedShare() : 0;
    return elapsed > STALL_MILLIS;
  }

  /** Returns the credit time since the start of the process, in milliseconds. */
  double creditMillis() {
    return creditMillis;
  }

  /** Returns the fraction of the domain's capacity that this holder may save. */
  double capacityShare() {
    return followedByMost() ? 1 : share;
  }

  /** Returns whether at least half of the entries of the domain follow this one. */
  boolean followedByMost() {
    return share >= MAJORITY;
  }

  /** Returns the fraction of the domain's share that accrues here. */
  double share() {
    return share;
  }
}
