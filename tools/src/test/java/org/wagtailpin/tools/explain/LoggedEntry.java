package org.wagtailpin.tools.explain;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.Ticket;
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
import org.wagtailpin.standins.backend.ServerFaults;
import org.wagtailpin.standins.backend.ServerProfile;
import org.wagtailpin.standins.store.StoreStandIn;
import org.wagtailpin.store.HttpStore;
import org.wagtailpin.store.StoreHttpClient;
import org.wagtailpin.store.StoreTimeouts;
import org.wagtailpin.transport.EventLoops;

/** An entry with a store and a backend server on loopback, and the lines that the entry logs. */
final class LoggedEntry implements AutoCloseable {

  private static final long TIMEOUT_MILLIS = 20_000;
  private static final String HOST = InetAddress.getLoopbackAddress().getHostAddress();

  private final EventLoopGroup serverLoops = EventLoops.create(1, "servers");
  private final StoreStandIn store = new StoreStandIn(anyPort(), 1);
  private final BackendServerStandIn server =
      new BackendServerStandIn(
          ServerProfile.plain("s1", 4, 1, 1),
          new SystemClock(),
          serverLoops,
          new ExecutionCounter());
  private final List<String> lines = new CopyOnWriteArrayList<>();
  private final EntryNode entry;

  LoggedEntry() throws Exception {
    store.start();
    server.start(anyPort());
    entry = new EntryNode(settings(), new StandardPlatform(), lines::add);
    entry.start();
    acceptTicket();
    await(entry::ready);
  }

  private static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  private URI storeUri() {
    return URI.create("http://" + HOST + ":" + store.address().getPort());
  }

  private EntrySettings settings() throws IOException {
    ListenAddress any = new ListenAddress(HOST, 0);
    return new EntrySettings(
        "entry-1",
        "north",
        "north-a",
        any,
        Optional.empty(),
        any,
        new ListenAddress(HOST, freePort()),
        List.of(),
        storeUri(),
        Optional.empty(),
        1,
        100,
        5_000,
        EventLogSettings.defaults(),
        Optional.of(1L));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private void acceptTicket() throws Exception {
    String text =
        """
        {"ticket": 1, "objects": [
          {"kind": "service", "name": "work"},
          {"kind": "service", "name": "bare"},
          {"kind": "route", "name": "all", "pathPrefix": "/", "service": "work",
           "deadlineMillis": 5000},
          {"kind": "route", "name": "bare", "pathPrefix": "/bare", "service": "bare",
           "deadlineMillis": 5000},
          {"kind": "serverSet", "name": "work", "service": "work", "servers": [
            {"name": "s1", "address": "%s", "port": %d, "region": "north",
             "failureDomain": "north-a", "slots": 4, "connections": 100}]}]}
        """
            .formatted(HOST, server.address().getPort());
    Ticket ticket =
        ((TicketReadResult.Read) new TicketReader().read("ticket", text.getBytes(UTF_8))).ticket();
    try (StoreHttpClient client = new StoreHttpClient(StoreTimeouts.defaults());
        ThreadControlLoop loop = new ThreadControlLoop("operator")) {
      HttpStore operator =
          new HttpStore(client.client(), storeUri(), "operator", StoreTimeouts.defaults());
      TicketResult result =
          new TicketAcceptor(
                  operator, new SystemClock(), loop, RandomSource.XO_RO_SHI_RO_128_PP.create(1L))
              .accept(ticket, TIMEOUT_MILLIS)
              .get();
      if (!(result instanceof TicketResult.Accepted)) {
        throw new AssertionError("ticket not accepted: " + result);
      }
    }
  }

  void faults(ServerFaults faults) {
    server.setFaults(faults);
  }

  /** Sends a request; returns the status, or 0 if the connection was closed without an answer. */
  int call(String path) throws Exception {
    HttpRequest sent =
        HttpRequest.newBuilder(
                URI.create("http://" + HOST + ":" + entry.callerAddress().getPort() + path))
            .POST(HttpRequest.BodyPublishers.ofString("x"))
            .build();
    try {
      return HttpClient.newHttpClient()
          .send(sent, HttpResponse.BodyHandlers.ofString())
          .statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Waits until the end of a request is logged, and returns the identifier of the request. */
  String endedRequest() {
    await(() -> ended().isPresent());
    Matcher id = Pattern.compile("\"request\":\"([^\"]+)\"").matcher(ended().orElseThrow());
    return id.find() ? id.group(1) : "";
  }

  private Optional<String> ended() {
    return lines.stream().filter(line -> line.contains("\"event\":\"ended\"")).findFirst();
  }

  /** Returns all lines that the entry has logged so far. */
  String log() {
    return String.join(System.lineSeparator(), lines) + System.lineSeparator();
  }

  private void await(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("condition not met in time; logged so far: " + lines);
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    entry.close();
    server.close();
    serverLoops.shutdownGracefully();
    store.close();
  }
}
