package org.wagtailpin.fleet;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreWatch;

/**
 * Tests whether the store answers while a watch waits, by a cheap read. A watch that waits does not
 * show that its connection or the store was lost. Confined to the control loop.
 */
final class StorePing {

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** A key that no one writes; what is read does not matter. */
  static final String KEY = "ping";

  private final Store store;
  private final StoreWatch watch;
  private final ControlLoop loop;
  private final Clock clock;
  private final FleetTiming timing;
  private final Runnable onLoss;
  private long lastAnswerMillis = NEVER;
  private long sequence;
  private boolean pending;
  private boolean lost;

  /**
   * Creates a test that is not running.
   *
   * @param store the store to test
   * @param watch receives the loss and the return of the store
   * @param loop the control loop
   * @param clock measures the time between tests
   * @param timing that time, and how long an answer is awaited
   * @param onLoss called when a test fails after one that succeeded
   */
  StorePing(
      Store store,
      StoreWatch watch,
      ControlLoop loop,
      Clock clock,
      FleetTiming timing,
      Runnable onLoss) {
    this.store = store;
    this.watch = watch;
    this.loop = loop;
    this.clock = clock;
    this.timing = timing;
    this.onLoss = onLoss;
  }

  /** Sends a test if one is due. */
  void run() {
    long heardMillis = Math.max(lastAnswerMillis, watch.lastAnswerMillis());
    boolean unsure = lost || !watch.current();
    long dueMillis = unsure ? timing.pingTimeoutMillis() : timing.pingMillis();
    if (pending || clock.millis() - heardMillis < dueMillis) {
      return;
    }
    send();
  }

  private void send() {
    pending = true;
    long current = ++sequence;
    var unused =
        store
            .readStale(KEY, timing.pingTimeoutMillis())
            .thenAccept(result -> loop.execute(() -> answered(current, result)));
    loop.schedule(2 * timing.pingTimeoutMillis(), () -> abandon(current));
  }

  private void answered(long answeredSequence, ReadResult result) {
    if (answeredSequence != sequence) {
      return;
    }
    pending = false;
    if (result instanceof ReadResult.Failed) {
      recordLost();
      return;
    }
    lastAnswerMillis = clock.millis();
    if (lost || !watch.current()) {
      lost = false;
      watch.storeReachabilityChanged(true);
    } else {
      watch.storeAnswered(revision(result));
    }
  }

  private static long revision(ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      return found.storeRevision();
    }
    return result instanceof ReadResult.Absent absent ? absent.storeRevision() : 0;
  }

  /** Ends a test whose call neither succeeded nor failed, which would block all later ones. */
  private void abandon(long sentSequence) {
    if (pending && sentSequence == sequence) {
      pending = false;
      recordLost();
    }
  }

  /** After the first failure a second test follows at once, which opens a connection. */
  private void recordLost() {
    boolean first = !lost;
    lost = true;
    // An answer to the watch may have ended the loss, while the tests went on to fail.
    if (first || watch.current()) {
      watch.storeReachabilityChanged(false);
      onLoss.run();
    }
    if (first) {
      send();
    }
  }

  /** Discards earlier results, when the watch is started or stopped. */
  void reset() {
    sequence++;
    pending = false;
    lost = false;
    lastAnswerMillis = clock.millis();
  }
}
