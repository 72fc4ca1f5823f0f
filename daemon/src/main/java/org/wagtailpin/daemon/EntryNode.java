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

  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  /** How long peers and the store are told of the end; some trips to the farthest region. */
  private static final long LEAVE_TIMEOUT_MILLIS = 200;

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
    this(settings, new StandardPlatform());
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
    this.callers = createCallerListener(ListenerKind.PUBLIC, settings.callers());
    this.internal =
        settings.internal().map(address -> createCallerListener(ListenerKind.INTERNAL, address));
    this.admin = createAdminListener();
    this.metrics = settings.metrics().map(this::createMetricsListener);
  }

  private AdminListener createAdminListener() {
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

  private AdminListener createMetricsListener(ListenAddress address) {
    return new AdminListener(
        new InetSocketAddress(address.address(), address.port()),
        List.of(new MetricsPage(registry)));
  }

  private CallerListener createCallerListener(ListenerKind kind, ListenAddress address) {
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
      loop.execute(traffic::refreshLeavingHosts);
    }
    admin.start();
    metrics.ifPresent(AdminListener::start);
    callers.start();
    if (internal.isPresent()) {
      internal.get().start();
    }
    events.recordEvent(
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
   * @param tunables the constants
   */
  public void changeTunableDefaults(Map<Tunable, Double> tunables) {
    loop.execute(() -> control.changeTunableDefaults(tunables));
  }

  /** Returns the address on which operators are served. */
  public InetSocketAddress adminAddress() {
    return admin.address();
  }

  /** Returns how many calls are in flight on all listeners. */
  public int callsInFlight() {
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
    events.recordEvent(
        Event.of(EventKind.ENTRY_LEAVING)
            .with("calls", callsInFlight())
            .with("noticeMillis", settings.noticeMillis())
            .with("graceMillis", settings.graceMillis()));
    loop.execute(control.membership()::announceLeaving);
    CompletableFuture<Integer> done = new CompletableFuture<>();
    loop.schedule(settings.noticeMillis(), () -> drain(done));
    return done;
  }

  private void drain(CompletableFuture<Integer> done) {
    CompletableFuture<Integer> callersDrained = callers.drain(settings.graceMillis());
    CompletableFuture<Integer> internalDrained =
        internal
            .map(listener -> listener.drain(settings.graceMillis()))
            .orElseGet(() -> CompletableFuture.completedFuture(0));
    callersDrained
        .thenCombine(internalDrained, Integer::sum)
        .thenCompose(cutCalls -> leaveFleet().thenApply(left -> cutCalls))
        .whenCompleteAsync(
            (cutCalls, failure) -> {
              int calls = cutCalls == null ? 0 : cutCalls;
              events.recordEvent(Event.of(EventKind.ENTRY_LEFT).with("cut", calls));
              close();
              done.complete(calls);
            });
  }

  /** Others learn of silence anyway, so a peer or store that does not answer delays nothing. */
  private CompletableFuture<Void> leaveFleet() {
    return control.leave().completeOnTimeout(null, LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
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
        .shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    loop.close();
    events.close();
  }
}
