package org.wagtailpin.caller;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.clock.Clock;

/**
 * Timer for the single timeout that applies to a connection at a time. Confined to its event loop.
 *
 * <p>Extending the timeout does not reschedule the pending task: when the task runs early, it
 * schedules itself again for the remaining time.
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
   * Sets the timeout, replacing the current one.
   *
   * @param afterMillis the time until it expires, in milliseconds
   * @param onExpiry run on the event loop when it expires
   */
  void set(long afterMillis, Runnable onExpiry) {
    expiry = onExpiry;
    deadlineMillis = clock.millis() + afterMillis;
    if (deadlineMillis < scheduledMillis) {
      cancelScheduledTask();
      schedule(afterMillis);
    }
  }

  /** Clears the timeout; the pending task stays scheduled and is reused by the next one. */
  void clear() {
    deadlineMillis = NEVER;
  }

  /** Clears the timeout and cancels the pending task, for a connection that has closed. */
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
