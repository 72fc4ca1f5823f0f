package org.wagtailpin.call;

import io.netty.channel.EventLoopGroup;
import io.netty.util.AsciiString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.wagtailpin.backend.BackendClient;
import org.wagtailpin.backend.BackendSettings;
import org.wagtailpin.caller.CallerLimits;
import org.wagtailpin.caller.CallerListener;
import org.wagtailpin.caller.CallerSettings;
import org.wagtailpin.caller.ListenerKind;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.config.ConfigObject;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.Placement;
import org.wagtailpin.routing.PlacementHandle;
import org.wagtailpin.routing.PlacementListener;
import org.wagtailpin.transport.CustomerHeaders;
import org.wagtailpin.transport.EventLoops;
import org.wagtailpin.transport.HttpDialect;

/**
 * The traffic path of an entry on the loopback interface whose customers can change, with a route
 * that needs a key and one below {@code /open} that does not. Servers are tried in order.
 */
final class CustomerEntry implements AutoCloseable {

  private static final long DEADLINE_MILLIS = 10_000;

  final CountingMetrics metrics = new CountingMetrics();
  final RecordingEventLog events = new RecordingEventLog();
  final HoldingPlacement placement;
  private final EventLoopGroup loops = EventLoops.createAffine(2, "test-traffic");
  private final List<ConfigServer> servers = new ArrayList<>();
  private final BackendClient backend;
  private final CallerListener listener;
  private volatile ConfigSnapshot snapshot = ConfigSnapshot.empty();

  CustomerEntry(int... ports) throws IOException {
    for (int port : ports) {
      String name = "s" + (servers.size() + 1);
      servers.add(new ConfigServer(name, "127.0.0.1", port, "r", "d", 6, 100, false));
    }
    placement = new HoldingPlacement(new InOrderPlacement(servers));
    HttpDialect standard = HttpDialect.standard();
    HttpDialect dialect =
        new HttpDialect(
            standard.requestId(),
            standard.callerTimeout(),
            standard.deadline(),
            standard.load(),
            standard.loadFormat(),
            standard.requestLimit(),
            standard.attempt(),
            standard.target(),
            standard.signature(),
            standard.instance(),
            false,
            Set.of(),
            false,
            false,
            false,
            Optional.empty(),
            Optional.of(
                new CustomerHeaders(
                    AsciiString.cached("X-Api-Key"), AsciiString.cached("Wagtailpin-Tenant"))),
            Optional.empty(),
            Optional.empty());
    SystemClock clock = new SystemClock();
    backend =
        new BackendClient(BackendSettings.defaults(), loops, server -> 100, clock, dialect, events);
    listener =
        new CallerListener(
            new CallerSettings(ListenerKind.PUBLIC, "127.0.0.1", 0, "e1", CallerLimits.defaults()),
            loops,
            new CallEnvironment(
                CallSettings.defaults(),
                () -> snapshot,
                placement,
                new SafeRetryPolicy(),
                new InMemoryClaims(),
                backend,
                clock,
                events,
                metrics,
                dialect));
    listener.start();
  }

  /** Puts a configuration in force with a customer for each key, named "customer-" and the key. */
  void customers(String... keys) {
    List<ConfigObject> objects = new ArrayList<>();
    objects.add(route("all", "/", false));
    objects.add(route("open", "/open", true));
    objects.add(new ConfigService("work", false, List.of(TestEntry.REFUSAL), Optional.empty()));
    objects.add(new ConfigServerSet("set", "work", servers));
    for (String key : keys) {
      objects.add(
          new ConfigCustomer("customer-" + key, List.of(key), Optional.empty(), 0, 0, List.of()));
    }
    snapshot = new ConfigSnapshot(snapshot.version() + 1, objects, snapshot.customers());
  }

  private static ConfigRoute route(String name, String prefix, boolean publicAccess) {
    return new ConfigRoute(
        name,
        Optional.empty(),
        prefix,
        Set.of(),
        "work",
        Optional.empty(),
        DEADLINE_MILLIS,
        IdempotencyKeyRule.IGNORED,
        false,
        List.of(),
        Optional.empty(),
        Optional.empty(),
        0,
        publicAccess,
        List.of());
  }

  RawCaller caller() throws IOException {
    return new RawCaller(listener.address());
  }

  RawHttpMessage call(String method, String path, String headers) throws IOException {
    try (RawCaller caller = caller()) {
      return caller.call(method, path, headers, "");
    }
  }

  @Override
  public void close() {
    listener.drain(0).join();
    backend.close();
    loops.shutdownGracefully();
  }

  /** Passes requests on at once, or holds them until they are released. */
  static final class HoldingPlacement implements Placement {
    private final Placement next;
    private final Queue<Runnable> held = new ConcurrentLinkedQueue<>();
    private volatile boolean holds;

    HoldingPlacement(Placement next) {
      this.next = next;
    }

    void hold() {
      holds = true;
    }

    int held() {
      return held.size();
    }

    void release() {
      holds = false;
      held.forEach(Runnable::run);
    }

    @Override
    public PlacementHandle request(
        CallDescriptor call, AttemptHistory history, PlacementListener listener) {
      if (!holds) {
        return next.request(call, history, listener);
      }
      held.add(() -> next.request(call, history, listener));
      return () -> {};
    }
  }
}
