package org.wagtailpin.routing;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wagtailpin.limits.CustomerExcess;
import org.wagtailpin.limits.QueuedWork;

/** A call that is queued here for a server until it is decided or withdrawn, whichever is first. */
final class QueuedCall implements QueuedWork, PlacementHandle {

  private final CallDescriptor call;
  private final AttemptHistory history;
  private final PlacementListener listener;
  private final double weight;
  private final boolean longWork;
  private final long queuedAtMillis;
  private final double expectedMillis;
  private final long latestStartMillis;
  private final AtomicBoolean waiting = new AtomicBoolean(true);
  private volatile Optional<CustomerExcess> excess = Optional.empty();

  QueuedCall(
      CallDescriptor call,
      AttemptHistory history,
      PlacementListener listener,
      double weight,
      boolean longWork,
      long queuedAtMillis,
      double expectedMillis,
      long latestStartMillis) {
    this.call = call;
    this.history = history;
    this.listener = listener;
    this.weight = weight;
    this.longWork = longWork;
    this.queuedAtMillis = queuedAtMillis;
    this.expectedMillis = expectedMillis;
    this.latestStartMillis = latestStartMillis;
  }

  CallDescriptor call() {
    return call;
  }

  AttemptHistory history() {
    return history;
  }

  PlacementListener listener() {
    return listener;
  }

  boolean longWork() {
    return longWork;
  }

  long queuedAtMillis() {
    return queuedAtMillis;
  }

  /** Returns the time that the work is expected to take, in milliseconds. */
  double expectedMillis() {
    return expectedMillis;
  }

  /** Returns the maximum wait from when the call was queued, in milliseconds. */
  long maxWaitMillis() {
    return latestStartMillis - queuedAtMillis;
  }

  /** Returns why the call exceeds the share of its customer, if it does. */
  Optional<CustomerExcess> excess() {
    return excess;
  }

  void markExcess(CustomerExcess newExcess) {
    excess = Optional.of(newExcess);
  }

  void clearExcess() {
    excess = Optional.empty();
  }

  /** Ends the wait; returns false if it has ended already. */
  boolean tryEndWait() {
    return waiting.compareAndSet(true, false);
  }

  @Override
  public void withdraw() {
    waiting.set(false);
  }

  @Override
  public String callerGroup() {
    return call.sharingGroup();
  }

  @Override
  public double weight() {
    return weight;
  }

  @Override
  public int depth() {
    return call.depth();
  }

  @Override
  public int priority() {
    return call.priority();
  }

  @Override
  public boolean mayWait() {
    return call.route().mayWait();
  }

  @Override
  public long latestStartMillis() {
    return latestStartMillis;
  }

  @Override
  public boolean waiting() {
    return waiting.get();
  }
}
