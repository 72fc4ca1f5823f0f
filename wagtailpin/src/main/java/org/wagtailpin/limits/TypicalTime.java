package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A running median: moved up by samples above it and down by samples below it, so that a few very
 * long ones hardly shift it. Safe for all threads and without locks.
 */
final class TypicalTime {

  private final double gain;
  private final AtomicLong bits = new AtomicLong(Double.doubleToRawLongBits(Double.NaN));
  private volatile long lastMillis;

  TypicalTime(double gain) {
    this.gain = gain;
  }

  void add(double sample, long nowMillis) {
    lastMillis = nowMillis;
    bits.updateAndGet(before -> Double.doubleToRawLongBits(next(before, sample)));
  }

  private double next(long before, double sample) {
    double median = Double.longBitsToDouble(before);
    if (Double.isNaN(median)) {
      return sample;
    }
    return sample > median ? median * (1 + gain) : median / (1 + gain);
  }

  double millis(double fallback) {
    double median = Double.longBitsToDouble(bits.get());
    return Double.isNaN(median) ? fallback : median;
  }

  /** Returns the time of the last sample, 0 before the first. */
  long lastMillis() {
    return lastMillis;
  }
}
