package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.wagtailpin.limits.MovingAverage;
import org.wagtailpin.limits.RecentAverage;

/** An entry's state of one service; kept when the configuration changes. */
final class ServiceState {

  private static final double LOAD_SMOOTHING_FACTOR = 0.02;

  /** Time constant of the average load of servers whose demand changes by half within 17 s. */
  private static final double RECENT_MILLIS = 1_000;

  private final String name;
  private volatile ServiceView view;
  private final MovingAverage otherLoadPerSlot = new MovingAverage(LOAD_SMOOTHING_FACTOR);
  private final MovingAverage slowness = new MovingAverage(LOAD_SMOOTHING_FACTOR);
  private final RecentAverage recentOtherLoadPerSlot = new RecentAverage(RECENT_MILLIS);
  private final AtomicLong highestQueuePerSlot = new AtomicLong(Double.doubleToRawLongBits(0));
  private volatile boolean reportsLoad;
  private volatile boolean answeredWithoutLoad;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger longInFlight = new AtomicInteger();
  private final CallQueue queue = new CallQueue();

  ServiceState(String name, ServiceView view) {
    this.name = name;
    this.view = view;
  }

  String name() {
    return name;
  }

  ServiceView view() {
    return view;
  }

  void update(ServiceView newView) {
    view = newView;
  }

  CallQueue queue() {
    return queue;
  }

  /** Returns this entry's attempts in flight on all servers of the service. */
  int inFlight() {
    return inFlight.get();
  }

  /** Returns this entry's attempts in flight on routes of long work. */
  int longInFlight() {
    return longInFlight.get();
  }

  void attemptStarted(boolean longWork) {
    inFlight.incrementAndGet();
    if (longWork) {
      longInFlight.incrementAndGet();
    }
  }

  void attemptEnded(boolean longWork) {
    inFlight.decrementAndGet();
    if (longWork) {
      longInFlight.decrementAndGet();
    }
  }

  /** Records a load report of one of the servers. */
  void recordLoad(ServerState server, LoadReport load, double nowMillis) {
    recordFullLoad(server, load, nowMillis);
    int slots = server.server().slots();
    double perSlot = (double) server.load().lastOtherLoad() / slots;
    otherLoadPerSlot.add(perSlot);
    recentOtherLoadPerSlot.add(perSlot, nowMillis);
    slowness.add(load.slowness());
    reportsLoad = true;
  }

  /** Records a load report of a server that is fuller than others and tells nothing of these. */
  void recordFullLoad(ServerState server, LoadReport load, double nowMillis) {
    server.load().recordReport(load, nowMillis);
    int slots = server.server().slots();
    double queuePerSlot = (double) (load.inFlight() + load.queued() - slots) / slots;
    highestQueuePerSlot.accumulateAndGet(
        Double.doubleToRawLongBits(Math.max(0, queuePerSlot)), Math::max);
  }

  /** Records an answer of one of the servers that did not carry a load report. */
  void recordNoLoad() {
    answeredWithoutLoad = true;
  }

  /** Returns whether any of its servers has reported its load, or none has answered yet. */
  boolean mayReportLoad() {
    return reportsLoad || !answeredWithoutLoad;
  }

  /** Returns the moving average of the slowness that its servers report. */
  double averageSlowness() {
    return slowness.orElse(1);
  }

  /** Returns the longest queue that one of its servers has reported, in calls for each slot. */
  double highestQueuePerSlot() {
    return Double.longBitsToDouble(highestQueuePerSlot.get());
  }

  /** As {@link #averageOtherLoad}, by the reports of the last second or two. */
  double recentOtherLoad(int slots) {
    return recentOtherLoadPerSlot.orElse(0) * slots;
  }

  /** Returns the average work of other entries on a server with this many slots, in calls. */
  double averageOtherLoad(int slots) {
    return otherLoadPerSlot.orElse(0) * slots;
  }
}
