package org.wagtailpin.control;

/**
 * The single thread that owns control state.
 *
 * <p>Tasks run one after another, so state that is touched by tasks only needs no lock. A task must
 * not block. All methods are safe for use by any thread.
 */
public interface ControlLoop {

  /**
   * Runs a task soon.
   *
   * @param task the task
   */
  void execute(Runnable task);

  /**
   * Runs a task later.
   *
   * @param delayMillis how much later, in milliseconds, at least 0
   * @param task the task
   * @return a handle to call it off
   */
  ScheduledTask schedule(long delayMillis, Runnable task);
}
