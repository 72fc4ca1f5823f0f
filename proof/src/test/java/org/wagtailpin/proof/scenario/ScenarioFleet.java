package org.wagtailpin.proof.scenario;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.claims.ClaimKey;
import org.wagtailpin.claims.ClaimResult;
import org.wagtailpin.claims.ClaimSettlement;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.Ticket;
import org.wagtailpin.config.TicketAcceptor;
import org.wagtailpin.config.TicketResult;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.entrypeer.memory.MemoryPeerNetwork;
import org.wagtailpin.hostlist.HostState;
import org.wagtailpin.membership.Member;
import org.wagtailpin.store.memory.FaultyStore;
import org.wagtailpin.store.memory.MemoryStore;
import org.wagtailpin.store.memory.StoreFaults;

/** Simulated entries, store, order server, callers and operators on one timeline. */
final class ScenarioFleet {

  private static final long STEP_MILLIS = 50;
  private static final long STORE_TIMEOUT_MILLIS = 500;
  private static final long CALL_TIMEOUT_MILLIS = 5_000;
  private static final long OPERATOR_TIMEOUT_MILLIS = 10_000;
  private static final int CONNECTION_LIMIT = 220;

  private final UniformRandomProvider random;
  private final ManualClock clock = new ManualClock(1_000_000);
  private final ManualControlLoop timeline = new ManualControlLoop(clock);
  private final FaultyStore store;
  private final MemoryPeerNetwork network;
  private final OrderServer server = new OrderServer();
  private final Map<String, EntryProcess> entries = new TreeMap<>();
  private final Map<String, HostState> hosts = new HashMap<>();
  private final List<OrderCall> calls = new ArrayList<>();
  private final Map<Long, CompletableFuture<TicketResult>> tickets = new TreeMap<>();
  private final Set<Long> acceptedTickets = new HashSet<>();
  private boolean limitExceeded;
  private boolean configReverted;
  private long lastIncarnation;

  ScenarioFleet(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    MemoryStore memory = new MemoryStore(clock, timeline);
    store = new FaultyStore(memory, clock, timeline, seed, STORE_TIMEOUT_MILLIS);
    network = new MemoryPeerNetwork(timeline, random);
  }

  void start(String name) {
    Member member =
        new Member(name, ++lastIncarnation, "10.0.0." + name, 7000, "savo", "savo-" + name, false);
    hosts.put(member.address(), HostState.LIVE);
    List<String> seeds = List.copyOf(entries.keySet());
    entries.put(
        name,
        new EntryProcess(
            member,
            seeds,
            store.client(name),
            network,
            address -> hosts.getOrDefault(address, HostState.UNKNOWN),
            clock,
            timeline,
            random.nextLong()));
  }

  EntryProcess entry(String name) {
    return entries.get(name);
  }

  Collection<EntryProcess> entries() {
    return entries.values();
  }

  Set<String> names() {
    return Set.copyOf(entries.keySet());
  }

  OrderServer server() {
    return server;
  }

  MemoryPeerNetwork network() {
    return network;
  }

  List<OrderCall> calls() {
    return calls;
  }

  UniformRandomProvider random() {
    return random;
  }

  void changeStoreFaults(StoreFaults faults) {
    store.changeFaults(faults);
  }

  /** Kills the process of an entry immediately and marks its host as gone. */
  void crash(String name) {
    EntryProcess entry = entries.remove(name);
    entry.loop().kill();
    network.disconnect(name);
    hosts.put(entry.member().address(), HostState.GONE);
    configReverted |= entry.configReverted();
  }

  void advanceTime(long millis) {
    long endMillis = clock.millis() + millis;
    while (clock.millis() < endMillis) {
      timeline.advance(Math.min(STEP_MILLIS, endMillis - clock.millis()));
      int sum = 0;
      for (EntryProcess entry : entries.values()) {
        sum += entry.membership().integerShare("connections", CONNECTION_LIMIT);
      }
      limitExceeded |= sum > CONNECTION_LIMIT;
    }
  }

  boolean limitExceeded() {
    return limitExceeded;
  }

  /** Returns the sum of the shares of the connection limit that the entries hold. */
  int limitInUse() {
    return entries.values().stream()
        .mapToInt(entry -> entry.membership().integerShare("connections", CONNECTION_LIMIT))
        .sum();
  }

  int limit() {
    return CONNECTION_LIMIT;
  }

  void sendOrder(String order, String name) {
    EntryProcess entry = entries.get(name);
    OrderCall call = new OrderCall(order);
    calls.add(call);
    CompletableFuture<ClaimResult> claim =
        entry
            .claims()
            .claim(
                new ClaimKey("orders", order),
                order.hashCode(),
                clock.millis() + CALL_TIMEOUT_MILLIS);
    CompletableFuture<Void> unused =
        claim.thenAccept(result -> handleClaimResult(entry, call, result));
  }

  private void handleClaimResult(EntryProcess entry, OrderCall call, ClaimResult result) {
    if (!(result instanceof ClaimResult.Granted granted)) {
      call.recordRefusal(result);
      return;
    }
    entry
        .loop()
        .execute(
            () -> {
              ClaimSettlement settlement = server.executeOrder(call.order());
              call.recordExecution(settlement);
              entry
                  .loop()
                  .schedule(
                      server.workMillis(),
                      () -> {
                        entry.claims().settle(granted.token(), settlement);
                        call.recordSettlement(settlement);
                      });
            });
  }

  void sendTicket(long number, String service) {
    Ticket ticket =
        new Ticket(
            number,
            List.of(new ConfigService(service, true, List.of(), Optional.empty())),
            List.of());
    TicketAcceptor acceptor =
        new TicketAcceptor(store.client("operator-" + number), clock, timeline, random);
    tickets.put(number, acceptor.accept(ticket, OPERATOR_TIMEOUT_MILLIS));
  }

  /**
   * Returns {@code accepted}, {@code refused} or {@code unknown}, or {@code waiting} while there is
   * no result.
   */
  String ticketOutcome(long number) {
    CompletableFuture<TicketResult> result = tickets.get(number);
    if (!result.isDone()) {
      return "waiting";
    }
    TicketResult ended = result.join();
    if (ended instanceof TicketResult.Accepted || ended instanceof TicketResult.AcceptedBefore) {
      acceptedTickets.add(number);
      return "accepted";
    }
    return ended instanceof TicketResult.Unknown ? "unknown" : "refused";
  }

  Set<Long> acceptedTickets() {
    tickets.keySet().forEach(this::ticketOutcome);
    return acceptedTickets;
  }

  boolean configReverted() {
    return configReverted || entries.values().stream().anyMatch(EntryProcess::configReverted);
  }
}
