package org.wagtailpin.membership;

import java.util.OptionalLong;
import org.wagtailpin.clock.Clock;

/** Clock of one simulated entry, with its own origin and rate, that can be frozen. */
final class OffsetClock implements Clock {

  private final Clock base;
  private final long offsetMillis;
  private final double rate;
  private OptionalLong frozenAtMillis = OptionalLong.empty();

  OffsetClock(Clock base, long offsetMillis, double rate) {
    this.base = base;
    this.offsetMillis = offsetMillis;
    this.rate = rate;
  }

  void freeze() {
    frozenAtMillis = OptionalLong.of(millis());
  }

  void unfreeze() {
    frozenAtMillis = OptionalLong.empty();
  }

  @Override
  public long millis() {
    return frozenAtMillis.orElseGet(() -> offsetMillis + (long) (base.millis() * rate));
  }

  @Override
  public double exactMillis() {
    return millis();
  }

  @Override
  public long wallMillis() {
    return base.wallMillis();
  }
}
