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
import org.wagtailpin.budget.PrometheusBudgetMetrics;
import org.wagtailpin.caller.CallerLimits;
import org.wagtailpin.caller.CallerListener;
import org.wagtailpin.caller.CallerSettings;
import org.wagtailpin.caller.ListenerKind;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.daemon.log.ConsoleLines;
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
 * One entry: creates its components and starts and stops them in order.
 *
 * <p>One control thread owns the shared state; traffic threads serve calls and read snapshots of
 * it.
 */
public final class EntryNode implements AutoCloseable {

  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  /**
   * Time to notify peers and the store when the entry leaves; allows a few round trips to the
   * farthest region.
   */
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
   * Creates an entry that uses the project's own protocols, without starting it.
   *
   * @param settings the settings of the entry
   */
  public EntryNode(EntrySettings settings) {
    this(settings, new StandardPlatform());
  }

  /**
   * Creates an entry without starting it. Events are written to the console.
   *
   * @param settings the settings of the entry
   * @param platform the platform on which it runs
   */
  public EntryNode(EntrySettings settings, EntryPlatform platform) {
    this(settings, platform, ConsoleLines.configured()::println, ConsoleLines.configured()::flush);
  }

  /**
   * Creates an entry with its own destination for events, without starting it.
   *
   * @param settings the settings of the entry
   * @param platform the platform on which it runs
   * @param eventLines receives each line of the event log, on a thread that it may block
   */
  public EntryNode(EntrySettings settings, EntryPlatform platform, Consumer<String> eventLines) {
    this(settings, platform, eventLines, () -> {});
  }

  private EntryNode(
      EntrySettings settings,
      EntryPlatform platform,
      Consumer<String> eventLines,
      Runnable flushEventLines) {
    this.settings = settings;
    this.platform = platform;
    this.loop = new ThreadControlLoop(settings.id() + "-control");
    this.trafficLoops =
        EventLoops.createAffine(settings.trafficThreads(), settings.id() + "-traffic");
    this.events =
        new BoundedEventLog(settings.id(), settings.eventLog(), clock, eventLines, flushEventLines);
    long seed = settings.seed().orElseGet(System::nanoTime);
    this.control =
        new ControlParts(
            settings, platform, clock, loop, events, new PrometheusBudgetMetrics(registry), seed);
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
   * Starts all components and returns once the listeners accept connections. The entry becomes
   * ready later, when it has a configuration.
   *
   * @throws IOException if listening on an address fails
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

  /** Returns whether the entry has a configuration and is not leaving. */
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
   * Replaces the values of tunables that apply where the configuration has none. The change is made
   * later, on the control thread.
   *
   * @param tunables the new values, which replace all previous ones
   */
  public void changeTunableDefaults(Map<Tunable, Double> tunables) {
    loop.execute(() -> control.changeTunableDefaults(tunables));
  }

  /** Returns the listen address for operators, with the port that was bound. */
  public InetSocketAddress adminAddress() {
    return admin.address();
  }

  /** Returns the number of calls in flight on all listeners. */
  public int callsInFlight() {
    return callers.callsInFlight() + internal.map(CallerListener::callsInFlight).orElse(0);
  }

  /** Returns whether the entry has begun to leave. */
  public boolean leaving() {
    return leaving;
  }

  /** Returns the listen address for callers, with the port that was bound. */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  /**
   * Returns the listen address for calls of backend servers, empty if there is no such listener.
   */
  public Optional<InetSocketAddress> internalAddress() {
    return internal.map(CallerListener::address);
  }

  /** Returns the event log. */
  public BoundedEventLog events() {
    return events;
  }

  /** Returns the components that the control thread owns. */
  public ControlParts control() {
    return control;
  }

  /** Returns the components that serve calls. */
  public TrafficParts traffic() {
    return traffic;
  }

  /** Returns the clock of this entry. */
  Clock clock() {
    return clock;
  }

  /** Returns this entry's shares of fleet-wide limits. */
  public LimitShares shares() {
    return control.shares();
  }

  /**
   * Leaves gracefully: reports that it is not ready, accepts calls for {@code noticeMillis}, waits
   * up to {@code graceMillis} for the calls in flight, releases its shares and its lease, and
   * closes.
   *
   * @return completed when everything is closed, with the number of calls that were aborted
   */
  public CompletableFuture<Integer> leave() {
    leaving = true;
    events.recordEvent(
        Event.of(EventKind.ENTRY_LEAVING)
            .with("calls", callsInFlight())
            .with("noticeMillis", settings.noticeMillis())
            .with("graceMillis", settings.graceMillis()));
    loop.execute(control.membership()::announceLeaving);
    long untilEndMillis = settings.noticeMillis() + settings.graceMillis();
    callers.announceDrain(untilEndMillis);
    internal.ifPresent(listener -> listener.announceDrain(untilEndMillis));
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

  /**
   * Leaves the fleet, but does not wait for peers or a store that do not answer: they detect the
   * end of this entry by its silence.
   */
  private CompletableFuture<Void> leaveFleet() {
    return control.leave().completeOnTimeout(null, LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Closes everything at once, without leaving the fleet first, as in a crash. A second call has no
   * effect.
   */
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
