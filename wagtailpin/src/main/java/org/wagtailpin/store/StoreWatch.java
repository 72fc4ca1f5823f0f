package org.wagtailpin.store;

/** A watch of keys in the store that can be started and stopped. Runs on the control loop. */
public interface StoreWatch {

  /** Time of an answer that there was none of. */
  long NEVER = Long.MIN_VALUE / 2;

  /** Starts to list and watch the keys; has no effect while it is running. */
  void start();

  /** Stops watching; the answer to an outstanding call is ignored. */
  void stop();

  /** Returns whether the watch was started and not stopped since. */
  boolean running();

  /** Returns whether the keys were listed since the start, and the store answers. */
  boolean current();

  /**
   * Called when other store calls, which are more frequent than long watches, detect the loss or
   * the return of the store.
   *
   * @param reachable whether the store answers
   */
  void storeReachabilityChanged(boolean reachable);

  /**
   * Called when a test of the store succeeded while it was taken to be reachable.
   *
   * @param storeRevision the store's revision that the test read, which may be seconds old, 0 if it
   *     is not known
   */
  void storeAnswered(long storeRevision);

  /** Returns how often a list has shown changes that the waiting watch had not reported. */
  int missedChanges();

  /** Returns when a call last succeeded, by the monotonic clock, or NEVER. Thread-safe. */
  long lastAnswerMillis();
}
