package org.wagtailpin.daemon;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;

/**
 * Creates random number generators. The factory of the library loads all of its generators, which
 * an entry's start pays for.
 */
final class SeededRandom {

  private SeededRandom() {}

  static UniformRandomProvider create(long seed) {
    SplitMix64 seeds = new SplitMix64(seed);
    return new XoRoShiRo128PlusPlus(seeds.nextLong(), seeds.nextLong());
  }
}
