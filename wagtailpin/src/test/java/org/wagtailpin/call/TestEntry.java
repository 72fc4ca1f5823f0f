package org.wagtailpin.call;

import io.netty.channel.EventLoopGroup;
import io.netty.util.AsciiString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtailpin.backend.BackendClient;
import org.wagtailpin.backend.BackendSettings;
import org.wagtailpin.caller.CallerLimits;
import org.wagtailpin.caller.CallerListener;
import org.wagtailpin.caller.CallerSettings;
import org.wagtailpin.caller.ListenerKind;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.ConfigObject;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.config.RefusalPattern;
import org.wagtailpin.transport.EventLoops;
import org.wagtailpin.transport.HttpDialect;

/**
 * The traffic path of an entry on the loopback interface, with one route and one service. Servers
 * are tried in the order in which they were added and are named s1, s2 and so on.
 */
public final class TestEntry implements AutoCloseable {

  public static final RefusalPattern REFUSAL =
      new RefusalPattern(503, "Wagtailpin-Refused", "not-run");

  private static final int LOOPS = 2;

  private final EventLoopGroup loops = EventLoops.createAffine(LOOPS, "test-traffic");
  private final InOrderPlacement placement;
  private final InMemoryClaims claims = new InMemoryClaims();
  private final CountingMetrics metrics = new CountingMetrics();
  private final RecordingEventLog events = new RecordingEventLog();
  private final BackendClient backend;
  private final CallEnvironment environment;
  private final CallerListener listener;

  /** Options of a test entry. */
  public static final class Builder {
    private final List<Integer> ports = new ArrayList<>();
    private long deadlineMillis = 10_000;
    private IdempotencyKeyRule keyRule = IdempotencyKeyRule.IGNORED;
    private boolean echoes;
    private int maxConnections = 100;
    private long maxAnswerBytes = CallSettings.defaults().maxAnswerBytes();
    private ListenerKind kind = ListenerKind.PUBLIC;
    private CallerLimits limits = CallerLimits.defaults();
    private Optional<AsciiString> attemptHeader = HttpDialect.standard().attempt();
    private Set<Integer> notRunStatuses = HttpDialect.standard().notRunStatuses();
    private boolean callersSetIdentifiers;
    private boolean allowsUnframedAnswers;
    private boolean buffersAnswers;

    public Builder server(int port) {
      ports.add(port);
      return this;
    }

    public Builder deadlineMillis(long millis) {
      deadlineMillis = millis;
      return this;
    }

    public Builder keyRule(IdempotencyKeyRule rule) {
      keyRule = rule;
      return this;
    }

    public Builder echoes() {
      echoes = true;
      return this;
    }

    public Builder maxConnections(int limit) {
      maxConnections = limit;
      return this;
    }

    public Builder maxAnswerBytes(long bytes) {
      maxAnswerBytes = bytes;
      return this;
    }

    /** Has all attempts of a call bear the identifier of the call, which servers repeat. */
    public Builder sharesIdentifierAmongAttempts() {
      attemptHeader = Optional.empty();
      return this;
    }

    /** Has callers supply the identifiers of their calls. */
    public Builder callersSetIdentifiers() {
      callersSetIdentifiers = true;
      return this;
    }

    /** Has servers be allowed to end an answer by closing the connection. */
    public Builder allowsUnframedAnswers() {
      allowsUnframedAnswers = true;
      return this;
    }

    /** Has the entry hold short answers until they are complete. */
    public Builder buffersAnswers() {
      buffersAnswers = true;
      return this;
    }

    /** Has callers recognize requests that were not run by the status code. */
    public Builder notRunStatuses(Integer... statuses) {
      notRunStatuses = Set.of(statuses);
      return this;
    }

    private HttpDialect dialect() {
      HttpDialect standard = HttpDialect.standard();
      return new HttpDialect(
          standard.requestId(),
          standard.callerTimeout(),
          standard.deadline(),
          standard.load(),
          standard.loadFormat(),
          standard.requestLimit(),
          attemptHeader,
          standard.target(),
          standard.signature(),
          standard.instance(),
          callersSetIdentifiers,
          notRunStatuses,
          allowsUnframedAnswers,
          standard.allowsFractionalRetryAfter(),
          buffersAnswers);
    }

    public Builder internal() {
      kind = ListenerKind.INTERNAL;
      return this;
    }

    public Builder limits(CallerLimits changed) {
      limits = changed;
      return this;
    }

    public TestEntry start() throws IOException {
      return new TestEntry(this);
    }
  }

  private TestEntry(Builder builder) throws IOException {
    SystemClock clock = new SystemClock();
    ConfigSnapshot snapshot = new ConfigSnapshot(1, objects(builder));
    placement = new InOrderPlacement(snapshot.servers("work"));
    backend =
        new BackendClient(
            BackendSettings.defaults(),
            loops,
            server -> builder.maxConnections,
            clock,
            builder.dialect(),
            events);
    environment =
        new CallEnvironment(
            settings(builder.maxAnswerBytes),
            () -> snapshot,
            placement,
            new SafeRetryPolicy(),
            claims,
            backend,
            clock,
            events,
            metrics,
            builder.dialect());
    listener =
        new CallerListener(
            new CallerSettings(builder.kind, "127.0.0.1", 0, "e1", builder.limits),
            loops,
            environment);
    listener.start();
  }

  private static CallSettings settings(long maxAnswerBytes) {
    CallSettings defaults = CallSettings.defaults();
    return new CallSettings(
        defaults.maxBufferedBodyBytes(),
        defaults.maxHeldAnswerBytes(),
        defaults.maxFeedBytes(),
        defaults.maxBufferedAnswerBytes(),
        maxAnswerBytes,
        defaults.retryAfterMillis());
  }

  private static List<ConfigObject> objects(Builder builder) {
    List<ConfigServer> servers = new ArrayList<>();
    for (int port : builder.ports) {
      String name = "s" + (servers.size() + 1);
      servers.add(new ConfigServer(name, "127.0.0.1", port, "r", "d", 6, 100, false));
    }
    ConfigRoute route =
        new ConfigRoute(
            "all",
            Optional.empty(),
            "/",
            Set.of(),
            "work",
            Optional.empty(),
            builder.deadlineMillis,
            builder.keyRule,
            false);
    ConfigService service =
        new ConfigService("work", builder.echoes, List.of(REFUSAL), Optional.empty());
    return List.of(route, service, new ConfigServerSet("set", "work", servers));
  }

  public InetSocketAddress address() {
    return listener.address();
  }

  public CallerListener listener() {
    return listener;
  }

  public RawCaller caller() throws IOException {
    return new RawCaller(address());
  }

  /** Makes one call to {@code /x} on a new connection. */
  public RawHttpMessage call(String method, String headers, String body) throws IOException {
    try (RawCaller caller = caller()) {
      return caller.call(method, "/x", headers, body);
    }
  }

  public InOrderPlacement placement() {
    return placement;
  }

  public InMemoryClaims claims() {
    return claims;
  }

  public CountingMetrics metrics() {
    return metrics;
  }

  public RecordingEventLog events() {
    return events;
  }

  public BackendClient backend() {
    return backend;
  }

  @Override
  public void close() {
    listener.drain(0).join();
    backend.close();
    loops.shutdownGracefully();
  }
}
