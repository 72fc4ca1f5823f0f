package org.wagtailpin.fleet;

import org.wagtailpin.entrypeer.generated.DomainState;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.membership.Member;
import org.wagtailpin.store.StoreWatch;

/**
 * Selects the watcher that a follower follows, from what entries of its failure domain state of
 * themselves, and records its standing. Confined to the control loop.
 */
final class WatcherFollowing {

  private final FollowedWatcher followed;
  private final FleetKnowledge knowledge;
  private final StoreWatch watch;
  private final FleetTiming timing;
  private final EventLog events;

  WatcherFollowing(
      FollowedWatcher followed,
      FleetKnowledge knowledge,
      StoreWatch watch,
      FleetTiming timing,
      EventLog events) {
    this.followed = followed;
    this.knowledge = knowledge;
    this.watch = watch;
    this.timing = timing;
    this.events = events;
  }

  /**
   * Processes the state of another entry of the own domain; no effect while this entry watches.
   *
   * @param sender the other entry
   * @param state its state
   * @param sentMillis when this entry sent the message that the state answers, or received it
   * @param now the current time
   */
  void update(Member sender, DomainState state, long sentMillis, long now) {
    if (watch.running()) {
      return;
    }
    if (!state.getWatching()) {
      if (followed.is(sender.id())) {
        followed.record(WatcherStanding.LINK_LOST, now);
      }
      followNamed(sender, now);
      return;
    }
    boolean usable = state.getCurrent() && !state.getLeaving();
    if (!followed.is(sender.id()) && (followed.id().isEmpty() || (usable && !followed.good(now)))) {
      events.recordEvent(Event.of(EventKind.WATCHER_FOLLOWED).with("watcher", sender.id()));
      followed.follow(sender.id(), now);
    }
    if (followed.is(sender.id())) {
      recordStanding(state, sentMillis, now);
    }
  }

  /** Follows the watcher of the own domain that others name, if this entry follows none. */
  private void followNamed(Member sender, long now) {
    if (followed.id().isPresent()) {
      return;
    }
    knowledge
        .directory()
        .of(sender.failureDomain())
        .map(watcher -> watcher.member().id())
        .ifPresent(id -> followed.follow(id, now));
  }

  private void recordStanding(DomainState state, long sentMillis, long now) {
    if (state.getLeaving()) {
      followed.record(WatcherStanding.LEAVING, now);
    } else if (state.getCurrent()) {
      followed.confirmed(sentMillis);
      watch.storeReachabilityChanged(true);
    } else if (now - sentMillis < timing.beatMillis()) {
      recordStoreLost(now);
    }
  }

  private void recordStoreLost(long now) {
    boolean justBegun =
        followed.standing(now) == WatcherStanding.FOLLOWED
            && now - followed.followedSinceMillis() < timing.silenceMillis();
    // A watcher that has just begun is not current before its first list.
    if (!justBegun && followed.standing(now) != WatcherStanding.STORE_LOST) {
      watch.storeReachabilityChanged(false);
      followed.record(WatcherStanding.STORE_LOST, now);
    }
  }
}
