package org.wagtailpin.proof.scenario;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.ConfigObject;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.config.RefusalPattern;
import org.wagtailpin.config.Ticket;
import org.wagtailpin.config.TicketAcceptor;
import org.wagtailpin.config.TicketResult;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.daemon.EntryNode;
import org.wagtailpin.daemon.EntrySettings;
import org.wagtailpin.daemon.ListenAddress;
import org.wagtailpin.eventlog.EventLogSettings;
import org.wagtailpin.standins.backend.BackendServerStandIn;
import org.wagtailpin.standins.backend.ExecutionCounter;
import org.wagtailpin.standins.backend.ServerProfile;
import org.wagtailpin.standins.store.StoreStandIn;
import org.wagtailpin.store.HttpStore;
import org.wagtailpin.store.StoreHttpClient;
import org.wagtailpin.store.StoreTimeouts;
import org.wagtailpin.transport.EventLoops;

/**
 * Complete entries with a store and one backend server in this process, connected by sockets on the
 * loopback address.
 */
final class RunningFleet implements AutoCloseable {

  private static final String LOOPBACK = "127.0.0.1";
  private static final long WAIT_SECONDS = 30;
  private static final long POLL_NANOS = 5_000_000;
  private static final int SERVER_SLOTS = 4;
  private static final long DEADLINE_MILLIS = 10_000;

  private final long seed;
  private final Clock clock = new SystemClock();
  private final EventLoopGroup serverLoops = EventLoops.create(2, "servers");
  private final ThreadControlLoop operatorLoop = new ThreadControlLoop("operator");
  private final StoreHttpClient operatorClient = new StoreHttpClient(StoreTimeouts.defaults());
  private final StoreStandIn store;
  private final ExecutionCounter executionCounter = new ExecutionCounter();
  private final BackendServerStandIn server;
  private final List<EntryNode> entries = new ArrayList<>();
  private final HttpClient httpClient = HttpClient.newHttpClient();

  RunningFleet(int entryCount, double serviceMillis, long seed) throws IOException {
    this.seed = seed;
    store = new StoreStandIn(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), seed);
    store.start();
    server =
        new BackendServerStandIn(
            ServerProfile.plain("orders-1", SERVER_SLOTS, serviceMillis, seed),
            clock,
            serverLoops,
            executionCounter);
    server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    List<ListenAddress> peers = new ArrayList<>();
    for (int i = 1; i <= entryCount; i++) {
      EntryNode entry = new EntryNode(settings("entry-" + i, peers));
      entries.add(entry);
      entry.start();
    }
  }

  private EntrySettings settings(String id, List<ListenAddress> peers) throws IOException {
    List<ListenAddress> seeds = List.copyOf(peers);
    ListenAddress peerAddress = new ListenAddress(LOOPBACK, freePort());
    peers.add(peerAddress);
    return new EntrySettings(
        id,
        "savo",
        "savo-a",
        new ListenAddress(LOOPBACK, 0),
        Optional.empty(),
        new ListenAddress(LOOPBACK, 0),
        peerAddress,
        seeds,
        storeAddress(),
        Optional.empty(),
        1,
        200,
        DEADLINE_MILLIS,
        EventLogSettings.defaults(),
        Optional.of(seed));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private URI storeAddress() {
    return URI.create("http://" + LOOPBACK + ":" + store.address().getPort());
  }

  StoreStandIn store() {
    return store;
  }

  BackendServerStandIn server() {
    return server;
  }

  ExecutionCounter executionCounter() {
    return executionCounter;
  }

  EntryNode entry(int number) {
    return entries.get(number - 1);
  }

  /** Submits ticket 1 with the order service and waits until it is in force at all entries. */
  void acceptOrderService() {
    ConfigServer configured =
        new ConfigServer(
            "orders-1",
            LOOPBACK,
            server.address().getPort(),
            "savo",
            "savo-a",
            SERVER_SLOTS,
            240,
            false);
    RefusalPattern refusal = new RefusalPattern(503, "Wagtailpin-Refused", "not-run");
    List<ConfigObject> objects =
        List.of(
            new ConfigService("orders", true, List.of(refusal), Optional.empty()),
            new ConfigServerSet("orders", "orders", List.of(configured)),
            route("orders", "/orders", IdempotencyKeyRule.REQUIRED),
            route("catalogue", "/catalogue", IdempotencyKeyRule.IGNORED));
    TicketAcceptor acceptor =
        new TicketAcceptor(
            new HttpStore(
                operatorClient.client(), storeAddress(), "operator", StoreTimeouts.defaults()),
            clock,
            operatorLoop,
            RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    TicketResult result =
        acceptor
            .accept(new Ticket(1, objects, List.of()), DEADLINE_MILLIS)
            .orTimeout(WAIT_SECONDS, TimeUnit.SECONDS)
            .join();
    if (!(result instanceof TicketResult.Accepted)) {
      throw new AssertionError("ticket 1 was not accepted: " + result);
    }
    await("ticket 1 in force at all entries", () -> entries.stream().allMatch(EntryNode::ready));
  }

  private static ConfigRoute route(String name, String path, IdempotencyKeyRule rule) {
    return new ConfigRoute(
        name,
        Optional.empty(),
        path,
        Set.of(),
        "orders",
        Optional.empty(),
        DEADLINE_MILLIS,
        rule,
        false);
  }

  /** Sends an order with its name as the idempotency key and the work identifier. */
  CompletableFuture<HttpResponse<String>> postOrder(int entry, String order) {
    HttpRequest request =
        request(entry, "/orders/" + order)
            .header("Idempotency-Key", order)
            .header("X-Work-Id", order)
            .POST(HttpRequest.BodyPublishers.ofString(order))
            .build();
    return httpClient.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Sends a GET request, which an entry may safely send to a server again. */
  CompletableFuture<HttpResponse<String>> getCatalogue(int entry) {
    HttpRequest request = request(entry, "/catalogue/frames").GET().build();
    return httpClient.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest.Builder request(int entry, String path) {
    InetSocketAddress address = entries.get(entry - 1).callerAddress();
    return HttpRequest.newBuilder(URI.create("http://" + LOOPBACK + ":" + address.getPort() + path))
        .timeout(Duration.ofSeconds(WAIT_SECONDS));
  }

  static void await(String description, BooleanSupplier condition) {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNanos) {
        throw new AssertionError("condition not met in time: " + description);
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  @Override
  public void close() {
    entries.forEach(EntryNode::close);
    server.close();
    store.close();
    operatorClient.close();
    operatorLoop.close();
    serverLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
