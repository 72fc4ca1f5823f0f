package org.wagtailpin.budget;

/** The rate of recent events, each of which counts less the longer ago it was. Not thread-safe. */
final class DecayingRate {

  private static final double DECAY_MILLIS = 1_000;

  private double events;
  private double atMillis;

  void add(double count, double nowMillis) {
    events = decayed(nowMillis) + count;
    atMillis = nowMillis;
  }

  /** Returns the rate in events per millisecond. */
  double perMilli(double nowMillis) {
    return decayed(nowMillis) / DECAY_MILLIS;
  }

  private double decayed(double nowMillis) {
    return events * Math.exp(-Math.max(0, nowMillis - atMillis) / DECAY_MILLIS);
  }
}
