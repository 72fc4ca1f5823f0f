package org.wagtailpin.membership;

import org.wagtailpin.clock.Clock;

/** Shares by the newest terms; the clock is read at each use. Safe for all threads. */
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
    ShareValidity now = validity;
    long nowMillis = clock.millis();
    int guaranteedUnits = LimitSplit.guaranteedUnits(limit, guaranteedFraction);
    int share = 0;
    if (now.holdsGuaranteed(nowMillis)) {
      share += now.sets().guaranteedShare(limitName, guaranteedUnits);
    }
    if (now.holdsLeased(nowMillis)) {
      share += now.sets().leasedShare(limitName, limit - guaranteedUnits);
    }
    return share;
  }

  @Override
  public double share(double limit) {
    ShareValidity now = validity;
    long nowMillis = clock.millis();
    double share = 0;
    if (now.holdsGuaranteed(nowMillis)) {
      share += limit * guaranteedFraction / now.sets().guaranteed().size();
    }
    if (now.holdsLeased(nowMillis)) {
      share += limit * (1 - guaranteedFraction) / now.sets().leased().size();
    }
    return share;
  }
}
