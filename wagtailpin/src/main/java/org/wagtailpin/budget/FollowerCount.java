package org.wagtailpin.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.wagtailpin.clock.Clock;

/**
 * The fraction of the entries of a failure domain that follow this one, by their beats. Confined to
 * the control loop.
 */
public final class FollowerCount {

  /** Two beats of a follower; also for how long an entry that changes over counts twice. */
  private static final long FOLLOWS_MILLIS = 1_500;

  /** For how long a computed share is returned; it is asked for with each unit. */
  private static final long CACHE_MILLIS = 50;

  private final IntSupplier domainSize;
  private final Clock clock;
  private final Map<String, Long> beatMillis = new HashMap<>();
  private double share;
  private int size = 1;
  private long computedMillis = Long.MIN_VALUE / 2;

  /**
   * Creates a count without followers.
   *
   * @param domainSize the number of entries in the domain, rather too high than too low: an entry
   *     that is cut off must not take itself for the only one
   * @param clock the clock
   */
  public FollowerCount(IntSupplier domainSize, Clock clock) {
    this.domainSize = domainSize;
    this.clock = clock;
  }

  /** Records a beat of an entry of the domain that follows this one. */
  public void beat(String entry) {
    beatMillis.put(entry, clock.millis());
  }

  /** Has the size of the domain remembered, also while this entry is not followed. */
  public void observeSize() {
    size = Math.max(1, domainSize.getAsInt());
  }

  /** Returns the fraction of the entries that follow this one, itself included. */
  public double share() {
    long now = clock.millis();
    if (now - computedMillis >= CACHE_MILLIS) {
      computedMillis = now;
      beatMillis.values().removeIf(at -> now - at > FOLLOWS_MILLIS);
      observeSize();
      share = Math.min(1, (1.0 + beatMillis.size()) / size);
    }
    return share;
  }
}
