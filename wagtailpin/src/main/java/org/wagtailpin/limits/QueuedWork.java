package org.wagtailpin.limits;

/** Work that is queued in a {@link FairQueue}. */
public interface QueuedWork {

  /** Returns the name of the caller group whose share it uses up. */
  String callerGroup();

  /** Returns the weight of that group, above 0. */
  double weight();

  /** Returns how many calls led to it, at least 0. */
  int depth();

  /** Returns its priority, 0 for the most urgent. */
  int priority();

  /** Returns whether it may be delayed in favor of work that may not. */
  boolean mayWait();

  /** Returns the monotonic time, in milliseconds, after which starting it is of no use. */
  long latestStartMillis();

  /** Returns whether it is still waiting; if not, the queue drops it. */
  boolean waiting();
}
