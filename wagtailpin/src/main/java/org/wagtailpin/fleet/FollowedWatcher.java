package org.wagtailpin.fleet;

import java.util.Optional;
import org.wagtailpin.config.StateConfirmation;

/**
 * The watcher that this entry follows, and how current its state is. Confined to the control loop,
 * except for {@link #confirmation}. All times are of the monotonic clock.
 */
final class FollowedWatcher {

  private final FleetTiming timing;
  private Optional<String> id = Optional.empty();
  private WatcherStanding standing = WatcherStanding.UNKNOWN;
  private long sinceMillis;
  private long lastGoodMillis;
  private long followedSinceMillis;
  private volatile Optional<StateConfirmation> confirmation = Optional.empty();

  FollowedWatcher(FleetTiming timing, long nowMillis) {
    this.timing = timing;
    this.sinceMillis = nowMillis;
  }

  Optional<String> id() {
    return id;
  }

  boolean is(String entry) {
    return id.equals(Optional.of(entry));
  }

  /** Follows a watcher, which has the time of a silence to give its first answer. */
  void follow(String entry, long nowMillis) {
    id = Optional.of(entry);
    followedSinceMillis = nowMillis;
    lastGoodMillis = nowMillis;
    set(WatcherStanding.FOLLOWED, nowMillis);
  }

  /** Returns since when this watcher is followed, whatever its standing. */
  long followedSinceMillis() {
    return followedSinceMillis;
  }

  /** Follows no watcher. */
  void lose(long nowMillis) {
    id = Optional.empty();
    set(WatcherStanding.UNKNOWN, nowMillis);
  }

  /**
   * Records an answer by which the watcher's state is the store's.
   *
   * @param sentMillis when the message was sent that it answers
   */
  void confirmed(long sentMillis) {
    lastGoodMillis = Math.max(lastGoodMillis, sentMillis);
    set(WatcherStanding.FOLLOWED, sentMillis);
  }

  /** Records that the watcher had this entry's state and that of the store. */
  void stateEqual(long nowMillis) {
    confirmation = id.map(watcher -> new StateConfirmation(watcher, nowMillis));
  }

  /** Returns when a followed watcher last had this entry's state. Thread-safe. */
  Optional<StateConfirmation> confirmation() {
    return confirmation;
  }

  /** Records another standing, which lasts until the watcher confirms its state. */
  void record(WatcherStanding next, long nowMillis) {
    set(next, nowMillis);
  }

  private void set(WatcherStanding next, long nowMillis) {
    if (next != standing) {
      standing = next;
      sinceMillis = nowMillis;
    }
  }

  WatcherStanding standing(long nowMillis) {
    boolean silent =
        standing == WatcherStanding.FOLLOWED && nowMillis - lastGoodMillis > timing.silenceMillis();
    return silent ? WatcherStanding.SILENT : standing;
  }

  /** Returns since when the standing lasts; for a silence, the time of the last confirmation. */
  long sinceMillis(long nowMillis) {
    return standing(nowMillis) == WatcherStanding.SILENT ? lastGoodMillis : sinceMillis;
  }

  /** Returns whether the watcher confirmed its state within one silence. */
  boolean good(long nowMillis) {
    return standing(nowMillis) == WatcherStanding.FOLLOWED;
  }
}
