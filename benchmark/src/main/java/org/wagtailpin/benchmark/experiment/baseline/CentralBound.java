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

/**
 * One queue for all entries with exact knowledge of every slot at the moment it frees up, which no
 * policy of separate entries has. Calls go to the nearest free slot; another region is used when
 * the queue of the own one costs more than the trip. Calls that cannot finish in time are refused.
 * Safe for all threads.
 */
public final class CentralBound {

  private record Waiting(
      CallDescriptor call, Locality locality, PlacementListener listener, double workMillis) {

    /** Short work goes first, then long work, then work that may wait. */
    int rank(double shortMillis) {
      if (call.route().mayWait()) {
        return 2;
      }
      return workMillis > shortMillis ? 1 : 0;
    }
  }

  private static final double LONG_WORK_MILLIS = 100;
  private static final double MARGIN = 2;

  private static final Comparator<Waiting> FIRST =
      Comparator.<Waiting>comparingInt(waiting -> waiting.rank(LONG_WORK_MILLIS))
          .thenComparingLong(waiting -> waiting.call().deadlineMillis());

  private record CentralGrant(ConfigServer server) implements Grant {
    @Override
    public void finished(AttemptReport report) {
      // The slot was given back when the server freed it.
    }
  }

  private final ConfigSource config;
  private final Clock clock;
  private final double meanMillis;
  private final double regionMillis;
  private final Map<String, Double> work;
  private final Map<String, Integer> free = new HashMap<>();
  private final Map<String, String> serviceOf = new HashMap<>();
  private final Map<String, PriorityQueue<Waiting>> queues = new HashMap<>();

  /**
   * Creates a bound with all slots free.
   *
   * @param config the configuration, which does not change
   * @param clock the clock of the deadlines
   * @param meanMillis the mean work of a call, in milliseconds
   * @param regionMillis the one-way delay between regions, in milliseconds
   * @param work the usual work of a call by the name of its route, in milliseconds
   */
  public CentralBound(
      ConfigSource config,
      Clock clock,
      double meanMillis,
      double regionMillis,
      Map<String, Double> work) {
    this.config = config;
    this.clock = clock;
    this.meanMillis = meanMillis;
    this.regionMillis = regionMillis;
    this.work = Map.copyOf(work);
    config.current().services().forEach(service -> addServers(service.name()));
  }

  private void addServers(String service) {
    for (ConfigServer server : config.current().servers(service)) {
      free.put(server.name(), server.slots());
      serviceOf.put(server.name(), service);
    }
  }

  /**
   * Returns the placement of an entry.
   *
   * @param locality where the entry stands
   */
  public Placement placement(Locality locality) {
    return (call, history, listener) -> {
      request(new Waiting(call, locality, listener, work.get(call.route().name())));
      return () -> {};
    };
  }

  private void request(Waiting waiting) {
    Optional<ConfigServer> server;
    synchronized (this) {
      server = take(waiting);
      if (server.isEmpty()) {
        queue(waiting.call().route().service(), waiting.locality().region()).add(waiting);
      }
    }
    server.ifPresent(s -> waiting.listener().granted(new CentralGrant(s)));
  }

  private PriorityQueue<Waiting> queue(String service, String region) {
    return queues.computeIfAbsent(service + "/" + region, name -> new PriorityQueue<>(FIRST));
  }

  private Optional<ConfigServer> take(Waiting waiting) {
    String service = waiting.call().route().service();
    List<ConfigServer> servers = config.current().servers(service);
    Optional<ConfigServer> nearest =
        servers.stream()
            .filter(server -> free.get(server.name()) > 0)
            .filter(server -> worthTheTrip(service, server, waiting.locality()))
            .min(Comparator.comparingInt(server -> distance(server, waiting.locality())));
    nearest.ifPresent(server -> free.merge(server.name(), -1, Integer::sum));
    return nearest;
  }

  private static int distance(ConfigServer server, Locality from) {
    if (server.failureDomain().equals(from.failureDomain())) {
      return 0;
    }
    return server.region().equals(from.region()) ? 1 : 2;
  }

  private boolean worthTheTrip(String service, ConfigServer server, Locality from) {
    if (server.region().equals(from.region())) {
      return true;
    }
    int slots =
        config.current().servers(service).stream()
            .filter(near -> near.region().equals(from.region()))
            .mapToInt(ConfigServer::slots)
            .sum();
    double wait = (queue(service, from.region()).size() + 1) * meanMillis / Math.max(1, slots);
    return wait > 2 * regionMillis;
  }

  /**
   * Gives back a slot at the moment a server frees it.
   *
   * @param server the name of the server
   */
  public void freed(String server) {
    List<Runnable> told = new ArrayList<>();
    synchronized (this) {
      free.merge(server, 1, Integer::sum);
      next(server, told);
    }
    told.forEach(Runnable::run);
  }

  private void next(String serverName, List<Runnable> told) {
    String service = serviceOf.get(serverName);
    ConfigServer server =
        config.current().servers(service).stream()
            .filter(s -> s.name().equals(serverName))
            .findFirst()
            .orElseThrow();
    PriorityQueue<Waiting> own = queue(service, server.region());
    PriorityQueue<Waiting> queue = own.isEmpty() ? longest(service) : own;
    dropLate(queue, told);
    Waiting head = queue.peek();
    if (head == null || !worthTheTrip(service, server, head.locality())) {
      return;
    }
    queue.remove();
    free.merge(serverName, -1, Integer::sum);
    told.add(() -> head.listener().granted(new CentralGrant(server)));
  }

  private PriorityQueue<Waiting> longest(String service) {
    return queues.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(service + "/"))
        .map(Map.Entry::getValue)
        .max(Comparator.comparingInt(PriorityQueue::size))
        .orElseGet(() -> new PriorityQueue<>(FIRST));
  }

  private void dropLate(PriorityQueue<Waiting> queue, List<Runnable> told) {
    Fault late = new Fault(Step.ADMIT, Peer.SELF, "", "not run: deadline");
    while (!queue.isEmpty()
        && clock.millis() + MARGIN * queue.peek().workMillis()
            > queue.peek().call().deadlineMillis()) {
      PlacementListener listener = queue.poll().listener();
      told.add(() -> listener.refused(late));
    }
  }
}
