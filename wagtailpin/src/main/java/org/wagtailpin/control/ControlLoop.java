package org.wagtailpin.control;

/**
 * The single thread that owns the control state.
 *
 * <p>Tasks run one after another, so state that is accessed only by tasks needs no lock. A task
 * must not block. All methods are thread-safe.
 */
public interface ControlLoop {

  /**
   * Queues a task to run as soon as possible.
   *
   * @param task the task
   */
  void execute(Runnable task);

  /**
   * Runs a task after a delay.
   *
   * @param delayMillis the delay in milliseconds, at least 0
   * @param task the task
   * @return a handle to cancel the task
   */
  ScheduledTask schedule(long delayMillis, Runnable task);
}
