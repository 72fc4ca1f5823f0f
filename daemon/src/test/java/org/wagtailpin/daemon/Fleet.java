package org.wagtailpin.daemon;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.Ticket;
import org.wagtailpin.config.TicketAcceptor;
import org.wagtailpin.config.TicketReadResult;
import org.wagtailpin.config.TicketReader;
import org.wagtailpin.config.TicketResult;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.eventlog.EventLogSettings;
import org.wagtailpin.standins.backend.BackendServerStandIn;
import org.wagtailpin.standins.backend.ExecutionCounter;
import org.wagtailpin.standins.backend.ServerProfile;
import org.wagtailpin.standins.store.StoreStandIn;
import org.wagtailpin.store.HttpStore;
import org.wagtailpin.store.StoreHttpClient;
import org.wagtailpin.store.StoreTimeouts;
import org.wagtailpin.transport.EventLoops;

/** A store, backend servers and entries that communicate over loopback sockets. */
final class Fleet implements AutoCloseable {

  static final long SEED = 11;
  private static final String LOOPBACK = "127.0.0.1";
  private static final long AWAIT_TIMEOUT_SECONDS = 30;
  private static final long POLL_INTERVAL_NANOS = 5_000_000;

  private final EventLoopGroup serverLoops = EventLoops.create(2, "servers");
  private final ThreadControlLoop operatorLoop = new ThreadControlLoop("operator");
  private final StoreHttpClient operatorClient = new StoreHttpClient(StoreTimeouts.defaults());
  private final StoreStandIn store =
      new StoreStandIn(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), SEED);
  private final ExecutionCounter executionCounter = new ExecutionCounter();
  private final List<BackendServerStandIn> servers = new ArrayList<>();
  private final List<EntryNode> entries = new ArrayList<>();
  private final List<ListenAddress> peerAddresses = new ArrayList<>();

  Fleet() {
    System.out.println("fleet seed " + SEED);
    store.start();
  }

  StoreStandIn store() {
    return store;
  }

  ExecutionCounter executionCounter() {
    return executionCounter;
  }

  BackendServerStandIn addServer(int slots, double serviceMillis) {
    String name = "s" + servers.size();
    ServerProfile profile = ServerProfile.plain(name, slots, serviceMillis, SEED + servers.size());
    BackendServerStandIn server =
        new BackendServerStandIn(profile, new SystemClock(), serverLoops, executionCounter);
    server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    servers.add(server);
    return server;
  }

  EntryNode addEntry() throws IOException {
    EntryNode entry = new EntryNode(entrySettings("e" + entries.size()));
    entries.add(entry);
    entry.start();
    return entry;
  }

  EntrySettings entrySettings(String id) {
    ListenAddress peers = new ListenAddress(LOOPBACK, FreePorts.next());
    EntrySettings settings =
        new EntrySettings(
            id,
            "north",
            "north-a",
            new ListenAddress(LOOPBACK, 0),
            Optional.empty(),
            new ListenAddress(LOOPBACK, 0),
            peers,
            peerAddresses,
            URI.create("http://" + LOOPBACK + ":" + store.address().getPort()),
            Optional.empty(),
            2,
            200,
            10_000,
            EventLogSettings.defaults(),
            Optional.of(SEED));
    peerAddresses.add(peers);
    return settings;
  }

  /** Accepts a ticket that configures one service on all servers, with two routes. */
  TicketResult acceptService(long number) {
    return accept(serviceTicket(number));
  }

  String serviceTicket(long number) {
    String serverObjects =
        servers.stream().map(Fleet::serverJson).collect(Collectors.joining(",\n"));
    return """
    {
      "ticket": %d, // the whole service
      "objects": [
        {"kind": "service", "name": "lessons", "echoesAttempt": true,
         "refusals": [
           {"status": 503, "headerName": "Wagtailpin-Refused", "headerValue": "not-run"}]},
        {"kind": "serverSet", "name": "lessons-all", "service": "lessons", "servers": [%s]},
        {"kind": "route", "name": "lessons", "pathPrefix": "/", "service": "lessons",
         "deadlineMillis": 5000},
        {"kind": "route", "name": "quiz", "pathPrefix": "/quiz", "service": "lessons",
         "deadlineMillis": 5000, "keyRule": "required"}
      ]
    }
    """
        .formatted(number, serverObjects);
  }

  private static String serverJson(BackendServerStandIn server) {
    return """
    {"name": "%s", "address": "%s", "port": %d, "region": "north", "failureDomain": "north-a",
     "slots": %d, "connections": 240}
    """
        .formatted(
            server.profile().name(),
            LOOPBACK,
            server.address().getPort(),
            server.profile().slots());
  }

  TicketResult accept(String json) {
    TicketReadResult read = new TicketReader().read("test", json.getBytes(StandardCharsets.UTF_8));
    if (read instanceof TicketReadResult.Malformed malformed) {
      throw new IllegalArgumentException(malformed.problems().toString());
    }
    Ticket ticket = ((TicketReadResult.Read) read).ticket();
    HttpStore operatorStore =
        new HttpStore(
            operatorClient.client(),
            URI.create("http://" + LOOPBACK + ":" + store.address().getPort()),
            "operator",
            StoreTimeouts.defaults());
    TicketAcceptor acceptor =
        new TicketAcceptor(
            operatorStore,
            new SystemClock(),
            operatorLoop,
            RandomSource.XO_RO_SHI_RO_128_PP.create(SEED));
    CompletableFuture<TicketResult> result = acceptor.accept(ticket, 10_000);
    return result.orTimeout(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
  }

  static void awaitTrue(String description, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("timed out waiting for: " + description);
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }

  @Override
  public void close() {
    entries.forEach(EntryNode::close);
    servers.forEach(BackendServerStandIn::close);
    store.close();
    operatorClient.close();
    operatorLoop.close();
    serverLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
