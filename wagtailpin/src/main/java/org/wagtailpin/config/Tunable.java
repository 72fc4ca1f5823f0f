package org.wagtailpin.config;

import java.util.Optional;

/**
 * A named constant of the routing and admission rules that a ticket can change.
 *
 * <p>Each has a unit, a range and a default; {@link ConfigLimit} carries values for one service or
 * for all.
 */
public enum Tunable {
  /** Retries and hedges allowed, as a share of first attempts. */
  RETRY_SHARE("retryShare", "share", 0, 1, 0.1),
  /** Most attempts of one call, the first among them. */
  MAX_ATTEMPTS("maxAttempts", "attempts", 1, 10, 3),
  /** Longest time a call is queued for a server. */
  MAX_QUEUE_MILLIS("maxQueueMillis", "ms", 0, 600_000, 1000);

  private final String label;
  private final String unit;
  private final double min;
  private final double max;
  private final double defaultValue;

  Tunable(String label, String unit, double min, double max, double defaultValue) {
    this.label = label;
    this.unit = unit;
    this.min = min;
    this.max = max;
    this.defaultValue = defaultValue;
  }

  /** Returns the name used in tickets. */
  public String label() {
    return label;
  }

  /** Returns the unit. */
  public String unit() {
    return unit;
  }

  /** Returns the least value. */
  public double min() {
    return min;
  }

  /** Returns the greatest value. */
  public double max() {
    return max;
  }

  /** Returns the value in force where no ticket states one. */
  public double defaultValue() {
    return defaultValue;
  }

  /**
   * Finds a constant by its name in tickets.
   *
   * @param label the name
   * @return the constant, or empty if there is none of that name
   */
  public static Optional<Tunable> ofLabel(String label) {
    for (Tunable tunable : values()) {
      if (tunable.label.equals(label)) {
        return Optional.of(tunable);
      }
    }
    return Optional.empty();
  }
}
