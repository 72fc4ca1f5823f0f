package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicReference;

/**
 * An average whose samples lose weight with their age rather than with the number of later ones, so
 * that it follows a change equally fast however few samples there are. Safe for all threads.
 */
public final class RecentAverage {

  private record State(double sum, double weight, double atMillis) {

    State at(double nowMillis, double decayMillis) {
      double factor = Math.exp(Math.min(0, atMillis - nowMillis) / decayMillis);
      return new State(sum * factor, weight * factor, Math.max(atMillis, nowMillis));
    }

    State plus(double sample) {
      return new State(sum + sample, weight + 1, atMillis);
    }
  }

  private final double decayMillis;
  private final AtomicReference<State> state = new AtomicReference<>(new State(0, 0, 0));

  /**
   * Creates an average without samples.
   *
   * @param decayMillis the age at which the weight of a sample has decayed to 1/e
   */
  public RecentAverage(double decayMillis) {
    this.decayMillis = decayMillis;
  }

  /**
   * Adds a sample.
   *
   * @param sample the sample
   * @param nowMillis the current time
   */
  public void add(double sample, double nowMillis) {
    state.updateAndGet(before -> before.at(nowMillis, decayMillis).plus(sample));
  }

  /**
   * Returns the average.
   *
   * @param fallback what to return if there was no sample
   */
  public double orElse(double fallback) {
    State current = state.get();
    return current.weight() > 0 ? current.sum() / current.weight() : fallback;
  }

  /**
   * Returns how many samples a time constant brings, by those of the last few.
   *
   * @param nowMillis the current time
   */
  public double weight(double nowMillis) {
    return state.get().at(nowMillis, decayMillis).weight();
  }
}
