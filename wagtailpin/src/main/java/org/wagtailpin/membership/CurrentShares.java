package org.wagtailpin.membership;

import org.wagtailpin.clock.Clock;

/**
 * Shares computed from the validity published last. The clock is read on each call, so that a part
 * ends in time without another publication. Thread-safe.
 */
final class CurrentShares implements LimitShares {

  private final Clock clock;
  private final double guaranteedFraction;
  private volatile ShareValidity validity;

  CurrentShares(Clock clock, double guaranteedFraction, ShareValidity initial) {
    this.clock = clock;
    this.guaranteedFraction = guaranteedFraction;
    this.validity = initial;
  }

  ShareValidity validity() {
    return validity;
  }

  void publish(ShareValidity next) {
    this.validity = next;
  }

  @Override
  public int integerShare(String limitName, int limit) {
    ShareValidity current = validity;
    long nowMillis = clock.millis();
    int guaranteedUnits = LimitSplit.guaranteedUnits(limit, guaranteedFraction);
    int share = 0;
    if (current.holdsGuaranteed(nowMillis)) {
      share += current.sets().guaranteedShare(limitName, guaranteedUnits);
    }
    if (current.holdsLeased(nowMillis)) {
      share += current.sets().leasedShare(limitName, limit - guaranteedUnits);
    }
    return share;
  }

  @Override
  public double share(double limit) {
    ShareValidity current = validity;
    long nowMillis = clock.millis();
    double share = 0;
    if (current.holdsGuaranteed(nowMillis)) {
      share += limit * guaranteedFraction / current.sets().guaranteed().size();
    }
    if (current.holdsLeased(nowMillis)) {
      share += limit * (1 - guaranteedFraction) / current.sets().leased().size();
    }
    return share;
  }
}
