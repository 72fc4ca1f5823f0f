package org.wagtailpin.fleet;

import java.util.List;
import java.util.Optional;
import org.wagtailpin.budget.BudgetPeers;
import org.wagtailpin.budget.FollowerCount;
import org.wagtailpin.membership.Member;
import org.wagtailpin.store.StoreWatch;

/**
 * The watchers of the failure domains as the holders of shares of budgets. Confined to the control
 * loop.
 */
final class ShareHolders implements BudgetPeers {

  private final Member self;
  private final FleetKnowledge knowledge;
  private final FollowedWatcher followed;
  private final StoreWatch watch;
  private final FollowerCount followers;

  ShareHolders(
      Member self,
      FleetKnowledge knowledge,
      FollowedWatcher followed,
      StoreWatch watch,
      FollowerCount followers) {
    this.self = self;
    this.knowledge = knowledge;
    this.followed = followed;
    this.watch = watch;
    this.followers = followers;
  }

  @Override
  public boolean holding() {
    return watch.running();
  }

  @Override
  public double followedShare() {
    return followers.share();
  }

  @Override
  public Optional<String> holder() {
    return watch.running() ? Optional.of(self.id()) : followed.id();
  }

  @Override
  public List<Holder> otherHolders() {
    return knowledge.directory().notOf(self.failureDomain()).stream()
        .map(watcher -> new Holder(watcher.member().id(), watcher.member().failureDomain()))
        .toList();
  }
}
