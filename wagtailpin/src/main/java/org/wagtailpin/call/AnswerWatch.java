package org.wagtailpin.call;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Notices that no answer begins within a time. Confined to one event loop. */
final class AnswerWatch {

  private static final AnswerWatch NONE = new AnswerWatch(null);

  private final Future<?> timer;

  private AnswerWatch(Future<?> timer) {
    this.timer = timer;
  }

  /**
   * Starts to wait.
   *
   * @param loop the event loop
   * @param millis the time, in milliseconds; infinite to wait for nothing
   * @param unanswered run unless the watch is stopped before
   */
  static AnswerWatch start(EventLoop loop, double millis, Runnable unanswered) {
    if (Double.isInfinite(millis)) {
      return NONE;
    }
    return new AnswerWatch(
        loop.schedule(unanswered, (long) Math.ceil(millis), TimeUnit.MILLISECONDS));
  }

  /** Returns a watch that waits for nothing. */
  static AnswerWatch none() {
    return NONE;
  }

  void stop() {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
