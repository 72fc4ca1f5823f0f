package org.wagtailpin.budget;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;

/** Guards against holders that lose, or receive twice, the units with which they begin. */
class DomainSharesTest {

  private static final BudgetKey KEY = BudgetKey.customerQuota("c");
  private static final BudgetLimit LIMIT = new BudgetLimit(1e-6, 60);

  private final ManualClock clock = new ManualClock(1_000_000);
  private double followed = 0.05;
  private final BudgetSettings settings = BudgetSettings.ofQuotas(6, Map.of());
  private final DomainShares shares = new DomainShares(settings, new Peers(), clock);

  private final class Peers implements BudgetPeers {
    @Override
    public boolean holding() {
      return true;
    }

    @Override
    public double followedShare() {
      return followed;
    }

    @Override
    public Optional<String> holder() {
      return Optional.empty();
    }

    @Override
    public List<Holder> otherHolders() {
      return List.of();
    }
  }

  private double levelAfter(double share) {
    followed = share;
    clock.advance(CreditClock.TICK_MILLIS);
    shares.advance();
    return shares.bucket(KEY, LIMIT).level();
  }

  @Test
  void aHolderReceivesItsInitialUnitsOnceMostEntriesFollowIt() {
    double whole = settings.domainStart(LIMIT);
    assertThat(levelAfter(0.05)).isWithin(1e-3).of(whole * 0.05);
    assertThat(levelAfter(0.6)).isWithin(1e-3).of(whole);
    shares.bucket(KEY, LIMIT).take(whole);
    levelAfter(0.05);
    assertThat(levelAfter(1)).isWithin(1e-3).of(0);
  }
}
