package org.wagtailpin.fleet;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;

/**
 * The test by which a follower replaces a watcher that has lost the store only if the store answers
 * the follower itself. Confined to the control loop.
 */
final class WatcherChallenge {

  private static final long PAUSE_MILLIS = 2_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Store store;
  private final ControlLoop loop;
  private final Clock clock;
  private final FleetTiming timing;
  private long lastMillis = NEVER;

  WatcherChallenge(Store store, ControlLoop loop, Clock clock, FleetTiming timing) {
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.timing = timing;
  }

  /** Returns whether the last test was long enough ago for another one. */
  boolean allowed() {
    return clock.millis() - lastMillis >= PAUSE_MILLIS;
  }

  /**
   * Tests the store.
   *
   * @param onAnswer called if the store answers
   */
  void run(Runnable onAnswer) {
    lastMillis = clock.millis();
    var unused =
        store
            .readStale(StorePing.KEY, timing.pingTimeoutMillis())
            .thenAccept(
                result -> {
                  if (!(result instanceof ReadResult.Failed)) {
                    loop.execute(onAnswer);
                  }
                });
  }
}
