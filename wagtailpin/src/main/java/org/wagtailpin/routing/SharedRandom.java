package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A seeded random number generator that is safe for all threads: the SplitMix64 generator of
 * Steele, Lea and Flood (2014) with its state held atomically. The same seed gives the same
 * sequence, though concurrent threads may divide it among themselves differently.
 */
public final class SharedRandom implements UniformRandomProvider {

  private static final long GAMMA = 0x9E3779B97F4A7C15L;

  private final AtomicLong state;

  /**
   * Creates a generator.
   *
   * @param seed the seed
   */
  public SharedRandom(long seed) {
    state = new AtomicLong(seed);
  }

  @Override
  public long nextLong() {
    long z = state.addAndGet(GAMMA);
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
