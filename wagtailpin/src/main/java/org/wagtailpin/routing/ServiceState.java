package org.wagtailpin.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.wagtailpin.limits.MovingAverage;
import org.wagtailpin.limits.RecentAverage;
import org.wagtailpin.region.AllowedRegions;

/**
 * An entry's state of one service; kept when the configuration changes.
 *
 * <p>Calls that may not run in all regions have a state of their own for each set of regions, which
 * sees only the servers that they may use. Their queue is separate, since a call that waits for a
 * server of its regions must not delay calls that may use others. The servers' states are shared.
 */
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
  private final Optional<ServiceState> whole;
  private final ConcurrentMap<AllowedRegions, ServiceState> parts = new ConcurrentHashMap<>();
  private final AtomicInteger turn = new AtomicInteger();

  ServiceState(String name, ServiceView view) {
    this(name, view, Optional.empty());
  }

  private ServiceState(String name, ServiceView view, Optional<ServiceState> whole) {
    this.name = name;
    this.view = view;
    this.whole = whole;
  }

  /**
   * Returns the part of the service that calls may use.
   *
   * @param regions the regions in which the calls may run
   */
  ServiceState within(AllowedRegions regions) {
    return regions.allowsAll()
        ? this
        : parts.computeIfAbsent(
            regions, allowed -> new ServiceState(name, view.within(allowed), Optional.of(this)));
  }

  /** Returns whether this is a part of a service. */
  boolean isPart() {
    return whole.isPresent();
  }

  /** Returns the state of the whole service. */
  ServiceState whole() {
    return whole.orElse(this);
  }

  /**
   * Serves the queues of calls that may use a server on which a slot has just become free: the most
   * urgent first, and equally urgent ones in turn.
   *
   * @param server the server
   * @param serve serves the queue of a state, in a round of it
   */
  void serveFreed(ServerState server, Consumer<ServiceState> serve) {
    for (ServiceState queueing : whole().queueingFor(server)) {
      queueing.queue.addFreed(server);
      queueing.queue.run(() -> serve.accept(queueing));
    }
  }

  private List<ServiceState> queueingFor(ServerState server) {
    List<ServiceState> queueing = new ArrayList<>();
    if (!queue.isEmpty()) {
      queueing.add(this);
    }
    parts.forEach(
        (regions, part) -> {
          if (!part.queue.isEmpty() && regions.allows(server.server().region())) {
            queueing.add(part);
          }
        });
    if (queueing.size() > 1) {
      Collections.rotate(queueing, turn.getAndIncrement());
      queueing.sort(Comparator.comparingInt(state -> state.queue.mostUrgent()));
    }
    return queueing;
  }

  String name() {
    return name;
  }

  ServiceView view() {
    return view;
  }

  void update(ServiceView newView) {
    view = newView;
    parts.forEach((regions, part) -> part.update(newView.within(regions)));
  }

  CallQueue queue() {
    return queue;
  }

  /** Returns this entry's attempts in flight on all servers of the service, or of this part. */
  int inFlight() {
    return isPart()
        ? view.all().stream().mapToInt(server -> server.load().inFlight()).sum()
        : inFlight.get();
  }

  /** Returns this entry's attempts in flight on routes of long work. */
  int longInFlight() {
    return isPart() ? Math.min(inFlight(), whole().longInFlight()) : longInFlight.get();
  }

  void attemptStarted(boolean longWork) {
    whole().inFlight.incrementAndGet();
    if (longWork) {
      whole().longInFlight.incrementAndGet();
    }
  }

  void attemptEnded(boolean longWork) {
    whole().inFlight.decrementAndGet();
    if (longWork) {
      whole().longInFlight.decrementAndGet();
    }
  }

  /** Records a load report of one of the servers. */
  void recordLoad(ServerState server, LoadReport load, double nowMillis) {
    recordFullLoad(server, load, nowMillis);
    int slots = server.server().slots();
    double perSlot = (double) server.load().lastOtherLoad() / slots;
    ServiceState all = whole();
    all.otherLoadPerSlot.add(perSlot);
    all.recentOtherLoadPerSlot.add(perSlot, nowMillis);
    all.slowness.add(load.slowness());
    all.reportsLoad = true;
  }

  /** Records a load report of a server that is fuller than others and tells nothing of these. */
  void recordFullLoad(ServerState server, LoadReport load, double nowMillis) {
    server.load().recordReport(load, nowMillis);
    int slots = server.server().slots();
    double queuePerSlot = (double) (load.inFlight() + load.queued() - slots) / slots;
    whole()
        .highestQueuePerSlot
        .accumulateAndGet(Double.doubleToRawLongBits(Math.max(0, queuePerSlot)), Math::max);
  }

  /** Records an answer of one of the servers that did not carry a load report. */
  void recordNoLoad() {
    whole().answeredWithoutLoad = true;
  }

  /** Returns whether any of its servers has reported its load, or none has answered yet. */
  boolean mayReportLoad() {
    return whole().reportsLoad || !whole().answeredWithoutLoad;
  }

  /** Returns the moving average of the slowness that its servers report. */
  double averageSlowness() {
    return whole().slowness.orElse(1);
  }

  /** Returns the longest queue that one of its servers has reported, in calls for each slot. */
  double highestQueuePerSlot() {
    return Double.longBitsToDouble(whole().highestQueuePerSlot.get());
  }

  /** As {@link #averageOtherLoad}, by the reports of the last second or two. */
  double recentOtherLoad(int slots) {
    return whole().recentOtherLoadPerSlot.orElse(0) * slots;
  }

  /** Returns the average work of other entries on a server with this many slots, in calls. */
  double averageOtherLoad(int slots) {
    return whole().otherLoadPerSlot.orElse(0) * slots;
  }
}
