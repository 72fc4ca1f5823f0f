package org.wagtailpin.limits;

/** A sum whose parts fade with their age. Not safe for concurrent use. */
final class DecayingSum {

  private final double timeConstantMillis;
  private double value;
  private double atMillis;

  /**
   * Creates an empty sum.
   *
   * @param timeConstantMillis the time in which a part fades to 1/e, in milliseconds
   */
  DecayingSum(double timeConstantMillis) {
    this.timeConstantMillis = timeConstantMillis;
  }

  void add(double part, double nowMillis) {
    value = fadedValue(nowMillis) + part;
    atMillis = nowMillis;
  }

  /** Returns the average of what was added in each millisecond. */
  double perMilli(double nowMillis) {
    return fadedValue(nowMillis) / timeConstantMillis;
  }

  private double fadedValue(double nowMillis) {
    return value * Math.exp(-Math.max(0, nowMillis - atMillis) / timeConstantMillis);
  }
}
