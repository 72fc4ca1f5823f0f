package org.wagtailpin.fleet;

import java.util.OptionalLong;

/**
 * Decides after which time a follower watches the store itself.
 *
 * <p>Followers wait longer the later they come in the order of succession, so that as a rule one of
 * them has announced itself to the others before these act. Two watchers at once cost store calls,
 * but do no harm, since states are merged by their numbers.
 */
final class SuccessionRule {

  private static final long LINK_LOST_WAIT_MILLIS = 100;
  private static final int MAX_RANK = 6;
  private static final int MAX_CHALLENGER_RANK = 12;

  private final FleetTiming timing;

  SuccessionRule(FleetTiming timing) {
    this.timing = timing;
  }

  /**
   * Returns how long after the standing began the follower replaces the watcher, in milliseconds.
   *
   * @param standing the state of the followed watcher
   * @param rank how many live entries precede it in the order of succession
   * @return the time, empty if the watcher is not replaced
   */
  OptionalLong waitMillis(WatcherStanding standing, int rank) {
    long rankMillis = Math.min(rank, MAX_RANK) * timing.rankStepMillis();
    return switch (standing) {
      case FOLLOWED -> OptionalLong.empty();
      case UNKNOWN -> OptionalLong.of(timing.firstWaitMillis() + rankMillis);
      case SILENT -> OptionalLong.of(timing.silenceMillis() + rankMillis);
      case LINK_LOST -> OptionalLong.of(LINK_LOST_WAIT_MILLIS + rankMillis);
      case LEAVING -> OptionalLong.of(rankMillis);
      // A store that is away from all entries must not be called by all of them.
      case STORE_LOST ->
          OptionalLong.of(Math.min(rank, MAX_CHALLENGER_RANK) * timing.challengeStepMillis());
    };
  }
}
