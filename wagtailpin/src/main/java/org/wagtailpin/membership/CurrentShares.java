package org.wagtailpin.membership;

import org.wagtailpin.clock.Clock;

/** Shares by the newest terms; the clock is read at each use. Safe for all threads. */
final class CurrentShares implements LimitShares {

  private final Clock clock;
  private final double guaranteedFraction;
  private volatile ShareTerms terms;

  CurrentShares(Clock clock, double guaranteedFraction, ShareTerms first) {
    this.clock = clock;
    this.guaranteedFraction = guaranteedFraction;
    this.terms = first;
  }

  ShareTerms terms() {
    return terms;
  }

  void publish(ShareTerms next) {
    this.terms = next;
  }

  @Override
  public int wholeShare(String limitName, int limit) {
    ShareTerms now = terms;
    long nowMillis = clock.millis();
    int guaranteedUnits = ShareCut.guaranteedUnits(limit, guaranteedFraction);
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
    ShareTerms now = terms;
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
