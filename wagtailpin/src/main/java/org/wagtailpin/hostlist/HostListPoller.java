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
 * Reads the host list again and again, and keeps what it tells.
 *
 * <p>A failed or empty read changes nothing: the states stay as last known. A host that is missing
 * counts as gone only after it has been missing from every read for longer than the list lags.
 */
public final class HostListPoller implements HostStates, LeavingHosts {

  private record Known(HostState state, long absentSinceMillis) {}

  private static final long PRESENT = Long.MAX_VALUE;
  private static final double JITTER = 0.2;

  private final HostList source;
  private final ControlLoop loop;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final HostListSettings settings;
  private final Map<String, Known> known = new ConcurrentHashMap<>();
  private long pauseMillis;
  private volatile List<Host> newest = List.of();
  private volatile boolean stopped;

  /**
   * Creates a poller that has not begun.
   *
   * @param source the list
   * @param loop runs the reads
   * @param clock counts how long hosts are missing
   * @param random spreads the reads; used by this poller only
   * @param settings the timing
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
    this.pauseMillis = settings.pollMillis();
  }

  /** Begins to read the list. */
  public void start() {
    loop.execute(this::poll);
  }

  /** Stops reading the list. */
  public void stop() {
    stopped = true;
  }

  private void poll() {
    if (!stopped) {
      var unused = source.list().thenAccept(result -> loop.execute(() -> take(result)));
    }
  }

  private void take(HostListResult result) {
    if (result instanceof HostListResult.Listed listed && !listed.hosts().isEmpty()) {
      pauseMillis = settings.pollMillis();
      apply(listed.hosts());
    } else {
      pauseMillis = Math.min(settings.maxBackoffMillis(), 2 * pauseMillis);
      Logger.debug("host list not read: {}", result);
    }
    double jitter = 1 - JITTER + 2 * JITTER * random.nextDouble();
    loop.schedule((long) (pauseMillis * jitter), this::poll);
  }

  private void apply(List<Host> hosts) {
    long now = clock.millis();
    Map<String, Known> next = new HashMap<>();
    for (Host host : hosts) {
      next.put(host.address(), new Known(host.state(), PRESENT));
    }
    for (Map.Entry<String, Known> earlier : known.entrySet()) {
      next.computeIfAbsent(earlier.getKey(), address -> missing(earlier.getValue(), now));
    }
    known.putAll(next);
    newest = List.copyOf(hosts);
  }

  private Known missing(Known earlier, long now) {
    long since = Math.min(now, earlier.absentSinceMillis());
    boolean gone = now - since >= settings.absentMillis();
    return new Known(gone ? HostState.GONE : earlier.state(), since);
  }

  /** Returns the hosts of the newest list that came. */
  public List<Host> newest() {
    return newest;
  }

  @Override
  public HostState stateOf(String address) {
    Known host = known.get(address);
    return host == null ? HostState.UNKNOWN : host.state();
  }

  @Override
  public boolean isLeaving(String address) {
    HostState state = stateOf(address);
    return state == HostState.LEAVING || state == HostState.GONE;
  }
}
