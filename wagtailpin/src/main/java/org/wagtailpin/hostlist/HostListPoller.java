package org.wagtailpin.hostlist;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.tinylog.Logger;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;

/**
 * Polls the host list periodically and keeps the last known state of each host.
 *
 * <p>A failed or empty read leaves all states unchanged and backs off. A host that is absent from
 * the list counts as gone only after it has been absent from every successful read for longer than
 * the list can lag.
 */
public final class HostListPoller implements HostStates, LeavingHostLookup {

  private record ObservedHost(HostState state, long absentSinceMillis) {}

  private static final long NOT_ABSENT = Long.MAX_VALUE;
  private static final double JITTER_RATIO = 0.2;

  private final HostList source;
  private final ControlLoop loop;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final HostListSettings settings;
  private final Map<String, ObservedHost> observedHosts = new ConcurrentHashMap<>();
  private long intervalMillis;
  private volatile List<Host> latestHosts = List.of();
  private volatile boolean stopped;

  /**
   * Creates a poller that is not started.
   *
   * @param source the list to poll
   * @param loop runs the reads and handles their results
   * @param clock measures how long hosts are absent
   * @param random source of the jitter of the intervals; used by this poller only
   * @param settings the intervals
   */
  public HostListPoller(
      HostList source,
      ControlLoop loop,
      Clock clock,
      UniformRandomProvider random,
      HostListSettings settings) {
    this.source = source;
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.settings = settings;
    this.intervalMillis = settings.pollMillis();
  }

  /** Starts polling, with the first read at once; to be called once. */
  public void start() {
    loop.execute(this::poll);
  }

  /** Stops polling for good. */
  public void stop() {
    stopped = true;
  }

  private void poll() {
    if (!stopped) {
      var unused = source.list().thenAccept(result -> loop.execute(() -> handleResult(result)));
    }
  }

  private void handleResult(HostListResult result) {
    try {
      process(result);
    } finally {
      double jitter = 1 - JITTER_RATIO + 2 * JITTER_RATIO * random.nextDouble();
      loop.schedule((long) (intervalMillis * jitter), this::poll);
    }
  }

  private void process(HostListResult result) {
    if (result instanceof HostListResult.Listed listed && !listed.hosts().isEmpty()) {
      intervalMillis = settings.pollMillis();
      apply(listed.hosts());
    } else {
      intervalMillis = Math.min(settings.maxBackoffMillis(), 2 * intervalMillis);
      Logger.debug("host list read failed or was empty: {}", result);
    }
  }

  private void apply(List<Host> hosts) {
    long now = clock.millis();
    Map<String, ObservedHost> next = new HashMap<>();
    for (Host host : hosts) {
      next.put(host.address(), new ObservedHost(host.state(), NOT_ABSENT));
    }
    for (Map.Entry<String, ObservedHost> earlier : observedHosts.entrySet()) {
      next.computeIfAbsent(earlier.getKey(), address -> absentHost(earlier.getValue(), now));
    }
    observedHosts.putAll(next);
    latestHosts = List.copyOf(hosts);
  }

  private ObservedHost absentHost(ObservedHost earlier, long now) {
    long since = Math.min(now, earlier.absentSinceMillis());
    boolean gone = now - since >= settings.absentMillis();
    return new ObservedHost(gone ? HostState.GONE : earlier.state(), since);
  }

  /** Returns the hosts of the last list read, empty before the first. Thread-safe. */
  public List<Host> latestHosts() {
    return latestHosts;
  }

  @Override
  public HostState stateOf(String address) {
    ObservedHost host = observedHosts.get(address);
    return host == null ? HostState.UNKNOWN : host.state();
  }

  @Override
  public boolean isLeaving(String address) {
    HostState state = stateOf(address);
    return state == HostState.LEAVING || state == HostState.GONE;
  }
}
