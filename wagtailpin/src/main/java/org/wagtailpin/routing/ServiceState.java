package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailpin.limits.MovingAverage;

/** What an entry knows about one service; kept over changes of the configuration. */
final class ServiceState {

  private static final double OTHERS_GAIN = 0.02;

  private final String name;
  private volatile ServiceView view;
  private final MovingAverage othersPerSlot = new MovingAverage(OTHERS_GAIN);
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

  void began(boolean longWork) {
    inFlight.incrementAndGet();
    if (longWork) {
      longInFlight.incrementAndGet();
    }
  }

  void ended(boolean longWork) {
    inFlight.decrementAndGet();
    if (longWork) {
      longInFlight.decrementAndGet();
    }
  }

  /** Learns how much work of other entries is usual for each slot. */
  void learnOthers(int others, int slots) {
    othersPerSlot.add((double) others / slots);
  }

  double usualOthers(int slots) {
    return othersPerSlot.orElse(0) * slots;
  }
}
