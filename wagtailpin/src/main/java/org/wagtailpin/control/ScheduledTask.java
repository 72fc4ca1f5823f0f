package org.wagtailpin.control;

/** A task that is to run later. */
public interface ScheduledTask {

  /** Calls the task off if it has not begun. */
  void cancel();
}
