package org.wagtailpin.routing;

import org.wagtailpin.control.ScheduledTask;

/** Runs short tasks later, on any thread. */
public interface TaskScheduler {

  /**
   * Runs a task later.
   *
   * @param delayMillis how much later, in milliseconds, at least 0
   * @param task the task, which does not block
   * @return a handle to call it off
   */
  ScheduledTask schedule(long delayMillis, Runnable task);
}
