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
  private long dueMillis = NEVER;
  private long pendingMillis = NEVER;
  private Future<?> pending;

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
    dueMillis = clock.millis() + afterMillis;
    if (dueMillis < pendingMillis) {
      cancelPending();
      schedule(afterMillis);
    }
  }

  /** Lifts the limit. */
  void clear() {
    dueMillis = NEVER;
  }

  /** Lifts the limit for good. */
  void stop() {
    clear();
    cancelPending();
  }

  private void cancelPending() {
    if (pending != null) {
      pending.cancel(false);
      pending = null;
    }
    pendingMillis = NEVER;
  }

  private void schedule(long afterMillis) {
    pendingMillis = clock.millis() + afterMillis;
    pending = loop.schedule(this::check, afterMillis, TimeUnit.MILLISECONDS);
  }

  private void check() {
    pending = null;
    pendingMillis = NEVER;
    if (dueMillis == NEVER) {
      return;
    }
    long remainingMillis = dueMillis - clock.millis();
    if (remainingMillis > 0) {
      schedule(remainingMillis);
      return;
    }
    dueMillis = NEVER;
    expiry.run();
  }
}
