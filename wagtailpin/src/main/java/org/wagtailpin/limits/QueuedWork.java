package org.wagtailpin.limits;

/** Work that waits in a {@link FairQueue}. */
public interface QueuedWork {

  /** Returns the name of the caller group whose share it uses. */
  String callerGroup();

  /** Returns the weight of that group, above 0. */
  double weight();

  /** Returns how many calls lead to it, at least 0. */
  int depth();

  /** Returns whether it may wait behind work that may not. */
  boolean mayWait();

  /** Returns the monotonic time, in milliseconds, after which starting it has no worth. */
  long latestStartMillis();

  /** Returns whether it still waits; work that does not is dropped from the queue. */
  boolean waiting();
}
