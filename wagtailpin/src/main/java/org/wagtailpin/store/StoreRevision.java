package org.wagtailpin.store;

/**
 * The number that orders states of the store over its restores.
 *
 * <p>A store that is restored from an older copy gives out revisions again, and raises its era by
 * one. The number is composed of both, so that every state of a later era is above all states of
 * earlier ones, and one comparison orders two states. In era 0, it is the revision itself. The
 * decimal factor keeps revisions readable in log lines and on status pages.
 */
public final class StoreRevision {

  /** Revisions are below this, which is above the integers that JSON numbers represent exactly. */
  private static final long NUMBERS_PER_ERA = 10_000_000_000_000_000L;

  /** The highest era whose numbers all fit. */
  public static final long MAX_ERA = Long.MAX_VALUE / NUMBERS_PER_ERA - 1;

  private StoreRevision() {}

  /**
   * Returns the number of a revision in an era.
   *
   * @param era the era, 0 for a store that does not state one
   * @param revision the revision that the store stated
   * @throws IllegalArgumentException if one of them is negative or too high to be composed
   */
  public static long of(long era, long revision) {
    if (era < 0 || era > MAX_ERA) {
      throw new IllegalArgumentException("era " + era + " is not from 0 to " + MAX_ERA);
    }
    if (revision < 0 || revision >= NUMBERS_PER_ERA) {
      throw new IllegalArgumentException("revision " + revision + " is out of range");
    }
    return era * NUMBERS_PER_ERA + revision;
  }

  /** Returns the era of a number. */
  public static long era(long number) {
    return number / NUMBERS_PER_ERA;
  }

  /** Returns the revision of a number, as the store states it. */
  public static long bare(long number) {
    return number % NUMBERS_PER_ERA;
  }
}
