package org.wagtailpin.standins.backend;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** Samples log-normal service times from a seed, with stragglers and a cold start. */
final class ServiceTimeSampler {

  /** Standard deviation of the logarithm of a service time. */
  private static final double SIGMA = 0.5;

  private final ServerProfile profile;
  private final UniformRandomProvider random;
  private final ContinuousSampler sampler;
  private final long startMillis;

  ServiceTimeSampler(ServerProfile profile, long startMillis) {
    this.profile = profile;
    this.startMillis = startMillis;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(profile.seed());
    // The mean of a log-normal variable is exp(mu + sigma^2 / 2).
    double mu = Math.log(profile.meanServiceMillis()) - SIGMA * SIGMA / 2;
    sampler = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random), mu, SIGMA);
  }

  /**
   * Returns the service time of the next request.
   *
   * @param nowMillis the current time in milliseconds, which determines the cold start factor
   * @param factor multiplier of the service time, from faults and from the request
   * @return the service time in milliseconds
   */
  synchronized double nextMillis(long nowMillis, double factor) {
    double millis = sampler.sample() * factor;
    if (random.nextDouble() < profile.stragglerShare()) {
      millis *= profile.stragglerFactor();
    }
    return millis * coldStartFactorAt(nowMillis);
  }

  private double coldStartFactorAt(long nowMillis) {
    long ageMillis = nowMillis - startMillis;
    if (ageMillis >= profile.coldStartMillis()) {
      return 1;
    }
    double remainingFraction = 1 - (double) ageMillis / profile.coldStartMillis();
    return 1 + (profile.coldStartFactor() - 1) * remainingFraction;
  }
}
