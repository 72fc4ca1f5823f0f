package org.wagtailpin.benchmark.experiment.baseline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.AttemptReport;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.Grant;
import org.wagtailpin.routing.Locality;
import org.wagtailpin.routing.Placement;
import org.wagtailpin.routing.PlacementListener;
import org.wagtailpin.routing.Refusal;

/**
 * Reference policy with one scheduler for all entries. It knows at once when a slot becomes free,
 * which separate entries cannot, and so serves as a bound for the other policies.
 *
 * <p>Calls go to the nearest free slot; another region is used only if the queue of the entry's own
 * region costs more than the network delay. Calls that cannot finish before their deadline are
 * refused. Safe for all threads.
 */
public final class CentralBound {

  private record QueuedCall(
      CallDescriptor call, Locality locality, PlacementListener listener, double workMillis) {

    /**
     * Returns 0 for short work, 1 for long work and 2 for work that may wait; lowest goes first.
     */
    int rank(double shortMillis) {
      if (call.route().mayWait()) {
        return 2;
      }
      return workMillis > shortMillis ? 1 : 0;
    }
  }

  private static final double LONG_WORK_MILLIS = 100;
  private static final double DEADLINE_MARGIN_FACTOR = 2;

  private static final Comparator<QueuedCall> QUEUE_ORDER =
      Comparator.<QueuedCall>comparingInt(queued -> queued.rank(LONG_WORK_MILLIS))
          .thenComparingLong(queued -> queued.call().deadlineMillis());

  private record CentralGrant(ConfigServer server) implements Grant {
    @Override
    public void finished(AttemptReport report) {
      // The slot is returned by releaseSlot, at the moment the server frees it.
    }
  }

  private final ConfigSource config;
  private final Clock clock;
  private final double meanWorkMillis;
  private final double regionMillis;
  private final Map<String, Double> workMillisByRoute;
  private final Map<String, Integer> freeSlots = new HashMap<>();
  private final Map<String, String> serviceByServer = new HashMap<>();
  private final Map<String, PriorityQueue<QueuedCall>> queues = new HashMap<>();

  /**
   * Creates a scheduler with all slots free.
   *
   * @param config the configuration, which does not change
   * @param clock the clock to compare deadlines with
   * @param meanWorkMillis the mean work of a call, in milliseconds
   * @param regionMillis the one-way delay between regions, in milliseconds
   * @param workMillisByRoute the mean work of a call that is not a straggler, by the name of its
   *     route, in milliseconds
   */
  public CentralBound(
      ConfigSource config,
      Clock clock,
      double meanWorkMillis,
      double regionMillis,
      Map<String, Double> workMillisByRoute) {
    this.config = config;
    this.clock = clock;
    this.meanWorkMillis = meanWorkMillis;
    this.regionMillis = regionMillis;
    this.workMillisByRoute = Map.copyOf(workMillisByRoute);
    config.current().services().forEach(service -> addServers(service.name()));
  }

  private void addServers(String service) {
    for (ConfigServer server : config.current().servers(service)) {
      freeSlots.put(server.name(), server.slots());
      serviceByServer.put(server.name(), service);
    }
  }

  /**
   * Returns the placement of an entry.
   *
   * @param locality region and failure domain of the entry
   */
  public Placement placement(Locality locality) {
    return (call, history, listener) -> {
      request(new QueuedCall(call, locality, listener, workMillisByRoute.get(call.route().name())));
      return () -> {};
    };
  }

  private void request(QueuedCall queued) {
    Optional<ConfigServer> server;
    synchronized (this) {
      server = takeSlot(queued);
      if (server.isEmpty()) {
        queue(queued.call().route().service(), queued.locality().region()).add(queued);
      }
    }
    server.ifPresent(s -> queued.listener().granted(new CentralGrant(s)));
  }

  private PriorityQueue<QueuedCall> queue(String service, String region) {
    return queues.computeIfAbsent(service + "/" + region, name -> new PriorityQueue<>(QUEUE_ORDER));
  }

  private Optional<ConfigServer> takeSlot(QueuedCall queued) {
    String service = queued.call().route().service();
    List<ConfigServer> servers = config.current().servers(service);
    Optional<ConfigServer> nearest =
        servers.stream()
            .filter(server -> freeSlots.get(server.name()) > 0)
            .filter(server -> isWorthNetworkDelay(service, server, queued.locality()))
            .min(Comparator.comparingInt(server -> distance(server, queued.locality())));
    nearest.ifPresent(server -> freeSlots.merge(server.name(), -1, Integer::sum));
    return nearest;
  }

  private static int distance(ConfigServer server, Locality from) {
    if (server.failureDomain().equals(from.failureDomain())) {
      return 0;
    }
    return server.region().equals(from.region()) ? 1 : 2;
  }

  private boolean isWorthNetworkDelay(String service, ConfigServer server, Locality from) {
    if (server.region().equals(from.region())) {
      return true;
    }
    int slots =
        config.current().servers(service).stream()
            .filter(near -> near.region().equals(from.region()))
            .mapToInt(ConfigServer::slots)
            .sum();
    double queueWaitMillis =
        (queue(service, from.region()).size() + 1) * meanWorkMillis / Math.max(1, slots);
    return queueWaitMillis > 2 * regionMillis;
  }

  /**
   * Returns a slot that a server has just freed, and assigns it to a queued call if there is one.
   *
   * @param server the name of the server
   */
  public void releaseSlot(String server) {
    List<Runnable> notifications = new ArrayList<>();
    synchronized (this) {
      freeSlots.merge(server, 1, Integer::sum);
      dispatchNext(server, notifications);
    }
    notifications.forEach(Runnable::run);
  }

  private void dispatchNext(String serverName, List<Runnable> notifications) {
    String service = serviceByServer.get(serverName);
    ConfigServer server =
        config.current().servers(service).stream()
            .filter(s -> s.name().equals(serverName))
            .findFirst()
            .orElseThrow();
    PriorityQueue<QueuedCall> regionQueue = queue(service, server.region());
    PriorityQueue<QueuedCall> queue = regionQueue.isEmpty() ? longestQueue(service) : regionQueue;
    refuseExpired(queue, notifications);
    QueuedCall head = queue.peek();
    if (head == null || !isWorthNetworkDelay(service, server, head.locality())) {
      return;
    }
    queue.remove();
    freeSlots.merge(serverName, -1, Integer::sum);
    notifications.add(() -> head.listener().granted(new CentralGrant(server)));
  }

  private PriorityQueue<QueuedCall> longestQueue(String service) {
    return queues.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(service + "/"))
        .map(Map.Entry::getValue)
        .max(Comparator.comparingInt(PriorityQueue::size))
        .orElseGet(() -> new PriorityQueue<>(QUEUE_ORDER));
  }

  private void refuseExpired(PriorityQueue<QueuedCall> queue, List<Runnable> notifications) {
    Fault expired = new Fault(Step.ADMIT, Peer.SELF, "", "not run: deadline");
    while (!queue.isEmpty()
        && clock.millis() + DEADLINE_MARGIN_FACTOR * queue.peek().workMillis()
            > queue.peek().call().deadlineMillis()) {
      PlacementListener listener = queue.poll().listener();
      notifications.add(() -> listener.refused(new Refusal(expired, 1)));
    }
  }
}
