package org.wagtailpin.control;

/** Handle of a delayed task. */
public interface ScheduledTask {

  /** Cancels the task unless it has started. */
  void cancel();
}
