package org.wagtailpin.daemon;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.tinylog.Logger;
import org.wagtailpin.caller.CallerLimits;
import org.wagtailpin.caller.CallerListener;
import org.wagtailpin.caller.CallerSettings;
import org.wagtailpin.caller.ListenerKind;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.daemon.log.JsonConsoleWriter;
import org.wagtailpin.eventlog.BoundedEventLog;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.membership.LimitShares;
import org.wagtailpin.operator.AdminListener;
import org.wagtailpin.operator.AdminPage;
import org.wagtailpin.operator.ConfigPage;
import org.wagtailpin.operator.ConfigStatusPart;
import org.wagtailpin.operator.HealthPage;
import org.wagtailpin.operator.MetricsPage;
import org.wagtailpin.operator.ReadyPage;
import org.wagtailpin.operator.StatusPage;
import org.wagtailpin.operator.StatusPart;
import org.wagtailpin.transport.EventLoops;

/**
 * One entry: all its parts, wired together and started in order.
 *
 * <p>One control thread owns the shared state; traffic threads serve calls and read snapshots.
 */
public final class EntryNode implements AutoCloseable {

  private static final long CLOSE_WAIT_MILLIS = 2_000;

  /** How long peers and the store are told of the end; some trips to the farthest region. */
  private static final long GOODBYE_MILLIS = 200;

  private final EntrySettings settings;
  private final EntryPlatform platform;
  private final Clock clock = new SystemClock();
  private final ThreadControlLoop loop;
  private final EventLoopGroup trafficLoops;
  private final BoundedEventLog events;
  private final ControlParts control;
  private final TrafficParts traffic;
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final AdminListener admin;
  private final Optional<AdminListener> metrics;
  private final CallerListener callers;
  private final Optional<CallerListener> internal;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean leaving;

  /**
   * Wires an entry that is not started, with the project's own protocols.
   *
   * @param settings its settings
   */
  public EntryNode(EntrySettings settings) {
    this(settings, new OwnPlatform());
  }

  /**
   * Wires an entry that is not started.
   *
   * @param settings its settings
   * @param platform what it runs on
   */
  public EntryNode(EntrySettings settings, EntryPlatform platform) {
    this(settings, platform, line -> Logger.tag(JsonConsoleWriter.RAW_TAG).info("{}", line));
  }

  /**
   * Wires an entry that is not started and whose events go elsewhere than to the console.
   *
   * @param settings its settings
   * @param platform what it runs on
   * @param eventLines takes each line of the event log, on a thread that may be blocked
   */
  public EntryNode(EntrySettings settings, EntryPlatform platform, Consumer<String> eventLines) {
    this.settings = settings;
    this.platform = platform;
    this.loop = new ThreadControlLoop(settings.id() + "-control");
    this.trafficLoops =
        EventLoops.createAffine(settings.trafficThreads(), settings.id() + "-traffic");
    this.events = new BoundedEventLog(settings.id(), settings.eventLog(), clock, eventLines);
    long seed = settings.seed().orElseGet(System::nanoTime);
    this.control = new ControlParts(settings, platform, clock, loop, events, seed);
    this.traffic =
        new TrafficParts(
            settings, platform, clock, loop, trafficLoops, control, registry, events, seed);
    EntryGauges.register(registry, this);
    this.callers = listener(ListenerKind.PUBLIC, settings.callers());
    this.internal = settings.internal().map(address -> listener(ListenerKind.INTERNAL, address));
    this.admin = adminListener();
    this.metrics = settings.metrics().map(this::metricsListener);
  }

  private AdminListener adminListener() {
    List<StatusPart> parts =
        List.of(
            new EntryStatusPart(this),
            new ConfigStatusPart(control::configReport),
            new MembershipStatusPart(control.membership()));
    List<AdminPage> pages =
        List.of(
            new HealthPage(),
            new ReadyPage(platform.readyPath(), this::notReadyReason),
            new MetricsPage(registry),
            new ConfigPage(control::configReport),
            new StatusPage(parts));
    return new AdminListener(
        new InetSocketAddress(settings.admin().address(), settings.admin().port()), pages);
  }

  private AdminListener metricsListener(ListenAddress address) {
    return new AdminListener(
        new InetSocketAddress(address.address(), address.port()),
        List.of(new MetricsPage(registry)));
  }

  private CallerListener listener(ListenerKind kind, ListenAddress address) {
    CallerSettings callerSettings =
        new CallerSettings(
            kind, address.address(), address.port(), settings.id(), CallerLimits.defaults());
    return new CallerListener(callerSettings, trafficLoops, traffic.environment());
  }

  /**
   * Starts all parts; returns once the listeners listen. The entry is ready later, when it has a
   * configuration.
   *
   * @throws IOException if an address can't be listened on
   */
  public void start() throws IOException {
    control.start();
    if (settings.hostList().isPresent()) {
      loop.execute(traffic::followHostList);
    }
    admin.start();
    metrics.ifPresent(AdminListener::start);
    callers.start();
    if (internal.isPresent()) {
      internal.get().start();
    }
    events.record(
        Event.of(EventKind.ENTRY_STARTED)
            .with("callers", callers.address().toString())
            .with("incarnation", control.incarnation()));
  }

  /** Tells whether the entry has a configuration and is not leaving. */
  public boolean ready() {
    return notReadyReason().isEmpty();
  }

  private Optional<String> notReadyReason() {
    if (leaving) {
      return Optional.of("leaving");
    }
    return !control.published().current().routes().isEmpty()
        ? Optional.empty()
        : Optional.of("no configuration from the store or from other entries");
  }

  /** Returns the settings. */
  public EntrySettings settings() {
    return settings;
  }

  /**
   * Changes the constants that hold where the configuration states none.
   *
   * @param constants the constants
   */
  public void changeConstants(Map<Tunable, Double> constants) {
    loop.execute(() -> control.changeConstants(constants));
  }

  /** Returns the address on which operators are served. */
  public InetSocketAddress adminAddress() {
    return admin.address();
  }

  /** Returns how many calls are in flight on all listeners. */
  public int calls() {
    return callers.callsInFlight() + internal.map(CallerListener::callsInFlight).orElse(0);
  }

  /** Tells whether the entry has begun to leave. */
  public boolean leaving() {
    return leaving;
  }

  /** Returns the address on which callers are served. */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  /** Returns the address on which calls of backend servers are served, if there is one. */
  public Optional<InetSocketAddress> internalAddress() {
    return internal.map(CallerListener::address);
  }

  /** Returns the event log. */
  public BoundedEventLog events() {
    return events;
  }

  /** Returns the parts that the control thread owns. */
  public ControlParts control() {
    return control;
  }

  /** Returns the parts that serve calls. */
  public TrafficParts traffic() {
    return traffic;
  }

  /** Returns this entry's share of limits. */
  public LimitShares shares() {
    return control.shares();
  }

  /**
   * Leaves gracefully: says that it is not ready, serves on for the notice time, finishes the calls
   * in flight, gives up its shares and its lease, and closes.
   *
   * @return completed when all is closed, with the number of calls that were cut
   */
  public CompletableFuture<Integer> leave() {
    leaving = true;
    events.record(
        Event.of(EventKind.ENTRY_LEAVING)
            .with("calls", calls())
            .with("noticeMillis", settings.noticeMillis())
            .with("graceMillis", settings.graceMillis()));
    loop.execute(control.membership()::announceLeaving);
    CompletableFuture<Integer> done = new CompletableFuture<>();
    loop.schedule(settings.noticeMillis(), () -> drain(done));
    return done;
  }

  private void drain(CompletableFuture<Integer> done) {
    CompletableFuture<Integer> outer = callers.drain(settings.graceMillis());
    CompletableFuture<Integer> inner =
        internal
            .map(listener -> listener.drain(settings.graceMillis()))
            .orElseGet(() -> CompletableFuture.completedFuture(0));
    outer
        .thenCombine(inner, Integer::sum)
        .thenCompose(cut -> sayGoodbye().thenApply(left -> cut))
        .whenCompleteAsync(
            (cut, failure) -> {
              int calls = cut == null ? 0 : cut;
              events.record(Event.of(EventKind.ENTRY_LEFT).with("cut", calls));
              close();
              done.complete(calls);
            });
  }

  /** Others learn of silence anyway, so a peer or store that does not answer delays nothing. */
  private CompletableFuture<Void> sayGoodbye() {
    return control.leave().completeOnTimeout(null, GOODBYE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Closes everything at once, as a crash would, without leave; does nothing the second time. */
  @Override
  public void close() {
    if (closed.getAndSet(true)) {
      return;
    }
    admin.close();
    metrics.ifPresent(AdminListener::close);
    control.close();
    traffic.close();
    trafficLoops
        .shutdownGracefully(0, CLOSE_WAIT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_WAIT_MILLIS);
    loop.close();
    events.close();
  }
}
