package org.wagtailpin.membership;

import java.util.function.IntSupplier;
import org.wagtailpin.clock.Clock;

/**
 * The highest value that a count had for some time, for a count of entries that is to err on the
 * side of too many.
 *
 * <p>Entries that can't reach one another each count only those that they reach. Were a limit split
 * by that count, the parts of a divided fleet would use it several times over. An entry that is
 * gone for good is counted for that time, too, so the limit isn't used up meanwhile. Thread-safe.
 */
public final class HighestCount implements IntSupplier {

  private record Periods(long startMillis, int before, int current) {}

  private final IntSupplier count;
  private final Clock clock;
  private final long memoryMillis;
  private Periods periods;

  /**
   * Creates a count that has seen nothing yet.
   *
   * @param count the count, called on any thread
   * @param clock the clock
   * @param memoryMillis for how long a value counts at least, in milliseconds; at most twice as
   *     long
   */
  public HighestCount(IntSupplier count, Clock clock, long memoryMillis) {
    this.count = count;
    this.clock = clock;
    this.memoryMillis = memoryMillis;
    this.periods = new Periods(clock.millis(), 0, 0);
  }

  @Override
  public synchronized int getAsInt() {
    long now = clock.millis();
    int value = count.getAsInt();
    long elapsedMillis = now - periods.startMillis();
    if (elapsedMillis >= 2 * memoryMillis) {
      periods = new Periods(now, 0, value);
    } else if (elapsedMillis >= memoryMillis) {
      periods = new Periods(periods.startMillis() + memoryMillis, periods.current(), value);
    } else if (value > periods.current()) {
      periods = new Periods(periods.startMillis(), periods.before(), value);
    }
    return Math.max(periods.before(), periods.current());
  }
}
