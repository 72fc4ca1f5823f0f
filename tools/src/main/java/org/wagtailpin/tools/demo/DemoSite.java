package org.wagtailpin.tools.demo;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.TicketAcceptor;
import org.wagtailpin.config.TicketReadResult;
import org.wagtailpin.config.TicketReader;
import org.wagtailpin.config.TicketResult;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.daemon.EntryNode;
import org.wagtailpin.daemon.EntrySettings;
import org.wagtailpin.daemon.ListenAddress;
import org.wagtailpin.daemon.StandardPlatform;
import org.wagtailpin.eventlog.EventLogSettings;
import org.wagtailpin.standins.backend.BackendServerStandIn;
import org.wagtailpin.standins.backend.ExecutionCounter;
import org.wagtailpin.standins.backend.ServerProfile;
import org.wagtailpin.standins.store.StoreStandIn;
import org.wagtailpin.store.HttpStore;
import org.wagtailpin.store.StoreHttpClient;
import org.wagtailpin.store.StoreTimeouts;
import org.wagtailpin.transport.EventLoops;

/** The components of the demonstration: a store, three entries, and six servers of two services. */
final class DemoSite implements AutoCloseable {

  private static final int ENTRIES = 3;
  private static final int LESSON_SERVERS = 4;
  private static final int ORDER_SERVERS = 2;
  private static final int LESSON_SLOTS = 6;
  private static final int ORDER_SLOTS = 2;
  private static final double LESSON_SERVICE_MILLIS = 4;
  private static final double ORDER_SERVICE_MILLIS = 6;
  private static final double STRAGGLER_SHARE = 0.02;
  private static final double STRAGGLER_FACTOR = 20;
  private static final long TICKET_TIMEOUT_MILLIS = 10_000;
  private static final long READY_TIMEOUT_SECONDS = 20;

  private final long seed;
  private final EventLoopGroup serverLoops = EventLoops.create(2, "servers");
  private final ThreadControlLoop operatorLoop = new ThreadControlLoop("operator");
  private final StoreHttpClient operatorClient = new StoreHttpClient(StoreTimeouts.defaults());
  private final ExecutionCounter executionCounter = new ExecutionCounter();
  private final PrintStream log;
  private final StoreStandIn store;
  private final List<BackendServerStandIn> lessons = new ArrayList<>();
  private final List<BackendServerStandIn> orders = new ArrayList<>();
  private final List<EntryNode> entries = new ArrayList<>();

  /**
   * Creates a site; {@link #start} starts its components.
   *
   * @param seed the seed of all random choices
   * @param log receives the entries' event logs
   */
  DemoSite(long seed, PrintStream log) {
    this.seed = seed;
    this.log = log;
    this.store = new StoreStandIn(anyPort(), seed);
  }

  private static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  void start() throws IOException {
    store.start();
    for (int number = 0; number < LESSON_SERVERS; number++) {
      ServerProfile profile =
          ServerProfile.plain(
              "lesson-" + number, LESSON_SLOTS, LESSON_SERVICE_MILLIS, seed + number);
      boolean straggler = number == LESSON_SERVERS - 1;
      lessons.add(
          startServer(
              straggler ? profile.withStragglers(STRAGGLER_SHARE, STRAGGLER_FACTOR) : profile));
    }
    for (int number = 0; number < ORDER_SERVERS; number++) {
      orders.add(
          startServer(
              ServerProfile.plain(
                  "order-" + number, ORDER_SLOTS, ORDER_SERVICE_MILLIS, seed + 100 + number)));
    }
    startEntries();
  }

  private BackendServerStandIn startServer(ServerProfile profile) {
    BackendServerStandIn server =
        new BackendServerStandIn(profile, new SystemClock(), serverLoops, executionCounter);
    server.start(anyPort());
    return server;
  }

  private void startEntries() throws IOException {
    List<ListenAddress> seeds = new ArrayList<>();
    for (int number = 0; number < ENTRIES; number++) {
      ListenAddress peers = new ListenAddress(loopback(), freePort());
      EntryNode entry =
          new EntryNode(
              settings("entry-" + number, peers, seeds), new StandardPlatform(), log::println);
      entry.start();
      entries.add(entry);
      seeds.add(peers);
    }
  }

  private EntrySettings settings(String id, ListenAddress peers, List<ListenAddress> seeds) {
    ListenAddress any = new ListenAddress(loopback(), 0);
    return new EntrySettings(
        id,
        "north",
        "north-a",
        any,
        Optional.of(any),
        any,
        peers,
        seeds,
        storeAddress(),
        Optional.empty(),
        2,
        500,
        10_000,
        EventLogSettings.defaults(),
        Optional.of(seed));
  }

  private URI storeAddress() {
    return URI.create("http://" + loopback() + ":" + store.address().getPort());
  }

  private static String loopback() {
    return InetAddress.getLoopbackAddress().getHostAddress();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Submits ticket 1, which defines both services with their servers and routes. */
  TicketResult acceptServices() {
    return accept(DemoTickets.servicesTicket(1, lessons, orders));
  }

  /**
   * Drains a lesson server: the server reports that it is draining, and ticket 2 marks it as
   * leaving.
   */
  TicketResult drainServer() {
    BackendServerStandIn leaving = lessons.get(0);
    leaving.setFaults(leaving.faults().withLeaving(true));
    return accept(DemoTickets.leavingTicket(2, lessons, leaving));
  }

  private TicketResult accept(String json) {
    TicketReadResult read = new TicketReader().read("demo", json.getBytes(StandardCharsets.UTF_8));
    if (read instanceof TicketReadResult.Malformed malformed) {
      throw new IllegalStateException(malformed.problems().toString());
    }
    HttpStore operatorStore =
        new HttpStore(
            operatorClient.client(), storeAddress(), "operator", StoreTimeouts.defaults());
    TicketAcceptor acceptor =
        new TicketAcceptor(
            operatorStore,
            new SystemClock(),
            operatorLoop,
            RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    return acceptor.accept(((TicketReadResult.Read) read).ticket(), TICKET_TIMEOUT_MILLIS).join();
  }

  /** Waits until all entries are ready; returns false if they are not ready in time. */
  boolean awaitReady() throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
    while (!entries.stream().allMatch(EntryNode::ready)) {
      if (System.nanoTime() > deadlineNanos) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    return true;
  }

  List<EntryNode> entries() {
    return entries;
  }

  ExecutionCounter executionCounter() {
    return executionCounter;
  }

  /** Returns the URL of a lesson server that neither has stragglers nor is drained. */
  String directServerAddress() {
    return "http://" + loopback() + ":" + lessons.get(1).address().getPort();
  }

  long probes() {
    return lessons.stream().mapToLong(BackendServerStandIn::probes).sum()
        + orders.stream().mapToLong(BackendServerStandIn::probes).sum();
  }

  /** Returns how many requests reached the drained server, before and after the drain. */
  long drainedServerRequests() {
    return lessons.get(0).requests();
  }

  String describeEntries() {
    return entries.stream()
        .map(entry -> "http://" + loopback() + ":" + entry.callerAddress().getPort())
        .collect(Collectors.joining(", "));
  }

  @Override
  public void close() {
    entries.forEach(EntryNode::close);
    lessons.forEach(BackendServerStandIn::close);
    orders.forEach(BackendServerStandIn::close);
    store.close();
    operatorClient.close();
    operatorLoop.close();
    serverLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
