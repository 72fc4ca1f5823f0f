package org.wagtailpin.budget;

import java.util.HashMap;
import java.util.Map;
import org.wagtailpin.clock.Clock;

/**
 * The shares of all budgets that this entry holds for its failure domain. Confined to the control
 * loop.
 */
final class DomainShares {

  /** Bounds the memory of budgets of objects that no longer exist. */
  private static final int MAX_BUCKETS = 20_000;

  private final BudgetSettings settings;
  private final CreditClock credit;
  private final Map<BudgetKey, ShareBucket> buckets = new HashMap<>();
  private boolean usesSlack = true;
  private double originCreditMillis;

  DomainShares(BudgetSettings settings, BudgetPeers peers, Clock clock) {
    this.settings = settings;
    this.credit = new CreditClock(peers, clock);
  }

  /** Advances the credit; to be called each {@link CreditClock#TICK_MILLIS}. */
  void advance() {
    if (credit.advance()) {
      empty();
    }
  }

  /** Forgets all units, those of budgets that were not asked for yet included. */
  private void empty() {
    buckets.clear();
    usesSlack = false;
    originCreditMillis = credit.creditMillis();
  }

  /** Returns the current bucket of a budget. */
  ShareBucket bucket(BudgetKey budget, BudgetLimit limit) {
    advance();
    ShareBucket bucket = buckets.get(budget);
    if (bucket == null) {
      if (buckets.size() >= MAX_BUCKETS) {
        empty();
      }
      bucket = new ShareBucket(originCreditMillis);
      if (credit.share() == 0) {
        return bucket;
      }
      buckets.put(budget, bucket);
    }
    if (usesSlack) {
      bucket.start(settings.domainStart(limit), credit.capacityShare());
    }
    bucket.advance(credit.creditMillis(), settings.domainPerMilli(limit), capacity(limit));
    return bucket;
  }

  /** Returns how many units this holder may save of a budget. */
  double capacity(BudgetLimit limit) {
    return settings.domainCapacity(limit) * credit.capacityShare();
  }

  /** Returns whether at least half of the entries of the domain take their units from here. */
  boolean followedByMost() {
    return credit.followedByMost();
  }

  BudgetSettings settings() {
    return settings;
  }
}
