package org.wagtailpin.caller;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.clock.Clock;

/**
 * The one time limit that holds for a connection at a moment; confined to its event loop.
 *
 * <p>Moving the limit later costs no timer: the pending one finds that it is early and goes on.
 */
final class ConnectionTimer {

  private static final long NEVER = Long.MAX_VALUE;

  private final EventLoop loop;
  private final Clock clock;
  private Runnable expiry = () -> {};
  private long deadlineMillis = NEVER;
  private long scheduledMillis = NEVER;
  private Future<?> scheduledTask;

  ConnectionTimer(EventLoop loop, Clock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Replaces the limit.
   *
   * @param afterMillis when it expires, in milliseconds from now
   * @param onExpiry what to do then
   */
  void set(long afterMillis, Runnable onExpiry) {
    expiry = onExpiry;
    deadlineMillis = clock.millis() + afterMillis;
    if (deadlineMillis < scheduledMillis) {
      cancelScheduledTask();
      schedule(afterMillis);
    }
  }

  /** Lifts the limit. */
  void clear() {
    deadlineMillis = NEVER;
  }

  /** Lifts the limit for good. */
  void stop() {
    clear();
    cancelScheduledTask();
  }

  private void cancelScheduledTask() {
    if (scheduledTask != null) {
      scheduledTask.cancel(false);
      scheduledTask = null;
    }
    scheduledMillis = NEVER;
  }

  private void schedule(long afterMillis) {
    scheduledMillis = clock.millis() + afterMillis;
    scheduledTask = loop.schedule(this::checkDeadline, afterMillis, TimeUnit.MILLISECONDS);
  }

  private void checkDeadline() {
    scheduledTask = null;
    scheduledMillis = NEVER;
    if (deadlineMillis == NEVER) {
      return;
    }
    long remainingMillis = deadlineMillis - clock.millis();
    if (remainingMillis > 0) {
      schedule(remainingMillis);
      return;
    }
    deadlineMillis = NEVER;
    expiry.run();
  }
}
