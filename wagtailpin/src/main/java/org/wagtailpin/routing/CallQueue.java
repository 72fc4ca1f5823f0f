package org.wagtailpin.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.tinylog.Logger;
import org.wagtailpin.limits.PriorityQueues;

/**
 * The queued calls of one service, with separate queues for short and for long work.
 *
 * <p>Any thread may add a call and request a round over the queue. Rounds run one at a time, on one
 * of the requesting threads, so the queues need no lock.
 */
final class CallQueue {

  /** Number of priorities with a count of the calls ahead; later ones count as the last. */
  private static final int PRIORITIES = 8;

  private final ConcurrentLinkedQueue<QueuedCall> arrivals = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<ServerState> freedServers = new ConcurrentLinkedQueue<>();
  private final PriorityQueues<QueuedCall> shortWork = new PriorityQueues<>();
  private final PriorityQueues<QueuedCall> longWork = new PriorityQueues<>();
  private final AtomicInteger pendingRounds = new AtomicInteger();
  private final AtomicBoolean tickScheduled = new AtomicBoolean();
  private final AtomicBoolean sweepRequested = new AtomicBoolean();
  private final AtomicIntegerArray sizeAhead = new AtomicIntegerArray(PRIORITIES);
  private final ProbeSchedule probeSchedule = new ProbeSchedule();
  private volatile int size;
  private volatile QueuedCustomers queuedCustomers = QueuedCustomers.none();

  void add(QueuedCall call) {
    arrivals.add(call);
  }

  /** Adds a server on which a slot has just become free. */
  void addFreed(ServerState server) {
    freedServers.add(server);
  }

  /** Removes and returns the server that was added first, if any. Called in a round only. */
  Optional<ServerState> pollFreed() {
    return Optional.ofNullable(freedServers.poll());
  }

  /** Marks the next tick as scheduled; returns false if one is scheduled already. */
  boolean markTickScheduled() {
    return tickScheduled.compareAndSet(false, true);
  }

  /** Clears the mark of the tick, and has the next round remove expired calls. */
  void requestSweep() {
    tickScheduled.set(false);
    sweepRequested.set(true);
  }

  /**
   * Returns whether this round is to remove expired calls, and resets the request. Called in a
   * round only.
   */
  boolean pollSweepRequest() {
    return sweepRequested.getAndSet(false);
  }

  /** Returns when servers are probed for the calls that wait. */
  ProbeSchedule probeSchedule() {
    return probeSchedule;
  }

  /** Returns how many calls the last round left in the queue; later arrivals are not counted. */
  int size() {
    return size;
  }

  /**
   * Returns how many calls of a priority or a more urgent one the last round left in the queue.
   *
   * @param priority the priority, 0 for the most urgent
   */
  int sizeAhead(int priority) {
    return priority < PRIORITIES ? sizeAhead.get(Math.max(0, priority)) : size;
  }

  /** Returns the most urgent priority of the calls that the last round left in the queue. */
  int mostUrgent() {
    int priority = 0;
    while (priority < PRIORITIES && sizeAhead.get(priority) == 0) {
      priority++;
    }
    return priority;
  }

  /**
   * Returns how many calls the last round left in the queue that go before a new call: with a
   * customer, those before it in the fair order of the customers.
   */
  int sizeAhead(QueuedCall call) {
    if (call.call().customer().isEmpty()) {
      return sizeAhead(call.priority());
    }
    int moreUrgent = call.priority() == 0 ? 0 : sizeAhead(call.priority() - 1);
    return moreUrgent + queuedCustomers.ahead(call);
  }

  boolean isEmpty() {
    return size == 0 && arrivals.isEmpty();
  }

  /**
   * Runs a round, or leaves it to the thread that is running one already, which then repeats its
   * own.
   *
   * @param round the work of one round
   */
  void run(Runnable round) {
    if (pendingRounds.getAndIncrement() != 0) {
      return;
    }
    int served = 1;
    do {
      runGuarded(
          () -> {
            addArrivals();
            round.run();
          });
      size = shortWork.size() + longWork.size();
      for (int priority = 0; priority < PRIORITIES; priority++) {
        sizeAhead.set(priority, shortWork.sizeAhead(priority) + longWork.sizeAhead(priority));
      }
      queuedCustomers = queuedCustomers.next(shortWork, longWork);
      served = pendingRounds.addAndGet(-served);
    } while (served != 0);
  }

  /** Logs the failure of a round, so that later rounds still run. */
  private static void runGuarded(Runnable round) {
    try {
      round.run();
    } catch (RuntimeException | Error e) {
      Logger.error(e, "failed to dispatch queued calls");
    }
  }

  private void addArrivals() {
    QueuedCall call = arrivals.poll();
    while (call != null) {
      queueOf(call.longWork()).add(call);
      queuedCustomers = queuedCustomers.with(call);
      call = arrivals.poll();
    }
  }

  /** Returns the queue of short or of long work. Used in a round only. */
  PriorityQueues<QueuedCall> queueOf(boolean ofLongWork) {
    return ofLongWork ? longWork : shortWork;
  }

  /** Removes and returns the calls whose latest start has passed. Called in a round only. */
  List<QueuedCall> removeExpired(long nowMillis) {
    List<QueuedCall> expired = new ArrayList<>(shortWork.removeExpired(nowMillis));
    expired.addAll(longWork.removeExpired(nowMillis));
    return expired;
  }
}
