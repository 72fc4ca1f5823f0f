package org.wagtailpin.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;
import org.wagtailpin.limits.FairQueue;

/**
 * The calls of one service that wait here, short and long work apart.
 *
 * <p>Any thread may add a call and ask for a round; rounds run one at a time, on one of the threads
 * that asked, so the order needs no lock.
 */
final class CallQueue {

  private final ConcurrentLinkedQueue<QueuedCall> arrivals = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<ServerState> freedServers = new ConcurrentLinkedQueue<>();
  private final FairQueue<QueuedCall> shortWork = new FairQueue<>();
  private final FairQueue<QueuedCall> longWork = new FairQueue<>();
  private final AtomicInteger pendingRounds = new AtomicInteger();
  private final AtomicBoolean tickScheduled = new AtomicBoolean();
  private final AtomicBoolean sweepRequested = new AtomicBoolean();
  private volatile int size;

  void add(QueuedCall call) {
    arrivals.add(call);
  }

  /** Notes a server on which a slot has just become free. */
  void addFreed(ServerState server) {
    freedServers.add(server);
  }

  /** Returns the server noted first, if any; for use in a round. */
  Optional<ServerState> pollFreed() {
    return Optional.ofNullable(freedServers.poll());
  }

  /** Claims the next look at the queue; tells whether nobody else had. */
  boolean markTickScheduled() {
    return tickScheduled.compareAndSet(false, true);
  }

  /** Notes that the claimed look is due, so the next round takes out late calls. */
  void requestSweep() {
    tickScheduled.set(false);
    sweepRequested.set(true);
  }

  /** Tells whether this round is to take out late calls; for use in a round. */
  boolean pollSweepRequest() {
    return sweepRequested.getAndSet(false);
  }

  /** Returns how many calls wait, as of the last round and without the newest. */
  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0 && arrivals.isEmpty();
  }

  /**
   * Runs a round, now or on the thread that runs one already.
   *
   * @param round what to do
   */
  void run(Runnable round) {
    if (pendingRounds.getAndIncrement() != 0) {
      return;
    }
    int served = 1;
    do {
      addArrivals();
      runGuarded(round);
      size = shortWork.size() + longWork.size();
      served = pendingRounds.addAndGet(-served);
    } while (served != 0);
  }

  /** A round that fails must not keep later rounds from running. */
  private static void runGuarded(Runnable round) {
    try {
      round.run();
    } catch (RuntimeException e) {
      Logger.error(e, "a round over queued calls failed");
    }
  }

  private void addArrivals() {
    QueuedCall call = arrivals.poll();
    while (call != null) {
      fairQueue(call.longWork()).add(call);
      call = arrivals.poll();
    }
  }

  /** Returns the order of short or of long work; for use in a round. */
  FairQueue<QueuedCall> fairQueue(boolean ofLongWork) {
    return ofLongWork ? longWork : shortWork;
  }

  /** Takes out the calls whose latest start has passed; for use in a round. */
  List<QueuedCall> removeExpired(long nowMillis) {
    List<QueuedCall> expired = new ArrayList<>(shortWork.removeExpired(nowMillis));
    expired.addAll(longWork.removeExpired(nowMillis));
    return expired;
  }
}
