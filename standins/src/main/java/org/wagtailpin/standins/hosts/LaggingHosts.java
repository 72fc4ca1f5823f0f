package org.wagtailpin.standins.hosts;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.hostlist.Host;

/** Hosts whose changes become visible only after a configurable lag. Thread-safe. */
final class LaggingHosts {

  /**
   * A change that is not visible yet.
   *
   * @param changedAtMillis time of the change on the monotonic clock, in milliseconds
   * @param host the host in its new state
   */
  private record Change(long changedAtMillis, Host host) {}

  private final Clock clock;
  private final Map<String, Host> visibleByName = new TreeMap<>();
  private final Deque<Change> pendingChanges = new ArrayDeque<>();
  private long lagMillis;

  LaggingHosts(Clock clock, long lagMillis) {
    this.clock = clock;
    this.lagMillis = lagMillis;
  }

  synchronized void setLagMillis(long millis) {
    lagMillis = millis;
  }

  synchronized void put(Host host) {
    pendingChanges.addLast(new Change(clock.millis(), host));
  }

  synchronized List<Host> visible() {
    long now = clock.millis();
    while (!pendingChanges.isEmpty()
        && pendingChanges.peekFirst().changedAtMillis() + lagMillis <= now) {
      Host host = pendingChanges.removeFirst().host();
      visibleByName.put(host.name(), host);
    }
    return List.copyOf(visibleByName.values());
  }
}
