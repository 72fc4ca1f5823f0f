package org.wagtailpin.routing;

import org.wagtailpin.control.ScheduledTask;

/** Schedules short tasks, which run on any thread. */
public interface TaskScheduler {

  /**
   * Runs a task later.
   *
   * @param delayMillis the delay in milliseconds, at least 0
   * @param task the task, which does not block
   * @return a handle to cancel the task
   */
  ScheduledTask schedule(long delayMillis, Runnable task);
}
