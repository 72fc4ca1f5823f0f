package org.wagtailpin.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.limits.CustomerAdmission;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.region.AllowedRegions;

/**
 * Entries of one failure domain that share the servers of a service in simulated time, with callers
 * of many customers, and counts of what the callers get.
 */
final class ContendedService {

  static final int ENTRIES = 20;
  static final int SLOTS = 4;
  static final long DEADLINE_MILLIS = 1_500;
  private static final int SERVER_QUEUE = 16;
  private static final long MIN_WORK_MILLIS = 130;
  private static final long WORK_SPREAD_MILLIS = 140;
  static final double MEAN_WORK_SECONDS = 0.2;
  private static final long BEAT_MILLIS = 660;
  private static final long HERD_MILLIS = 100;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Requests of a customer of one priority. */
  record Demand(String customer, int priority, double perSecond) {}

  /** How many requests callers made, and how many were answered before their deadline. */
  static final class Outcome {
    int asked;
    int served;
    int refusals;

    double rate() {
      return asked == 0 ? 1 : (double) served / asked;
    }
  }

  /** When a refused caller asks again. */
  enum Patience {
    RETRY_AFTER,
    IMMEDIATE
  }

  private final class Server {
    private int running;
    private final Queue<Runnable> queue = new ArrayDeque<>();

    void run(Runnable done, Runnable refused) {
      if (running < SLOTS) {
        running++;
        long work = MIN_WORK_MILLIS + random.nextLong(WORK_SPREAD_MILLIS);
        fixture.loop.schedule(work, () -> finish(done));
      } else if (queue.size() < SERVER_QUEUE) {
        queue.add(() -> run(done, refused));
      } else {
        fixture.loop.schedule(2, refused);
      }
    }

    private void finish(Runnable done) {
      running--;
      Optional.ofNullable(queue.poll()).ifPresent(Runnable::run);
      done.run();
    }

    LoadReport report() {
      return new LoadReport(running, queue.size(), false);
    }
  }

  final PlacementFixture fixture = new PlacementFixture();
  private final UniformRandomProvider random;
  private final List<QueueingPlacement> placements = new ArrayList<>();
  private final List<CustomerAdmission> admissions = new ArrayList<>();
  private final Map<String, Server> servers = new HashMap<>();
  private final Map<String, Outcome> byCustomer = new HashMap<>();
  private final Map<Integer, Outcome> byPriority = new HashMap<>();
  private final boolean customers;
  private Patience patience = Patience.RETRY_AFTER;
  private Optional<Integer> watcher = Optional.of(0);
  private double factor = 1;
  private String surging = "";
  private boolean counting;

  ContendedService(int serverCount, boolean customers, long seed) {
    this.customers = customers;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    fixture.servers(serverCount, SLOTS).tune(Tunable.SERVER_QUEUE, 1).publish();
    fixture.servers.forEach(server -> servers.put(server.name(), new Server()));
    for (int i = 0; i < ENTRIES; i++) {
      admissions.add(null);
      placements.add(null);
      restart(i);
      scheduleBeat(i);
    }
  }

  /** Has an entry lose all that it knows. */
  void restart(int entry) {
    CustomerAdmission admission = new CustomerAdmission(fixture.clock);
    admissions.set(entry, admission);
    RouteStatistics statistics = new RouteStatistics(fixture.clock);
    placements.set(entry, fixture.placement(random.nextLong(), statistics, admission));
  }

  void restartAll() {
    for (int i = 0; i < ENTRIES; i++) {
      restart(i);
    }
  }

  void setWatcher(Optional<Integer> entry) {
    watcher = entry;
  }

  void setPatience(Patience newPatience) {
    patience = newPatience;
  }

  /** Multiplies the demand of a customer. */
  void surge(String customer, double newFactor) {
    surging = customer;
    factor = newFactor;
  }

  private void scheduleBeat(int entry) {
    fixture.loop.schedule(random.nextLong(BEAT_MILLIS) + 1, () -> beat(entry));
  }

  private void beat(int entry) {
    double sent = fixture.clock.exactMillis();
    Optional<Integer> asked = watcher.filter(one -> one != entry);
    if (asked.isPresent()) {
      var report = admissions.get(entry).sums().report();
      fixture.loop.schedule(
          1,
          () -> {
            admissions.get(asked.get()).sums().reported("e" + entry, report);
            var total = admissions.get(asked.get()).sums().total();
            fixture.loop.schedule(1, () -> admissions.get(entry).sums().received(total, sent));
          });
    }
    fixture.loop.schedule(BEAT_MILLIS, () -> beat(entry));
  }

  /** Starts the requests of a customer, at random times. */
  void start(Demand demand) {
    double perSecond = demand.perSecond() * (demand.customer().equals(surging) ? factor : 1);
    double millis = -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
    fixture.loop.schedule(
        Math.max(1, Math.round(millis)),
        () -> {
          ask(demand);
          start(demand);
        });
  }

  /** Makes one request at any entry. */
  void ask(Demand demand) {
    List<Outcome> outcomes =
        counting
            ? List.of(
                byCustomer.computeIfAbsent(demand.customer(), key -> new Outcome()),
                byPriority.computeIfAbsent(demand.priority(), key -> new Outcome()))
            : List.of();
    outcomes.forEach(outcome -> outcome.asked++);
    attempt(demand, fixture.clock.millis() + DEADLINE_MILLIS, outcomes);
  }

  private void attempt(Demand demand, long deadline, List<Outcome> outcomes) {
    long now = fixture.clock.millis();
    if (now >= deadline) {
      return;
    }
    CallDescriptor plain = fixture.call(demand.priority(), deadline - now);
    CallDescriptor call =
        new CallDescriptor(
            plain.requestId(),
            plain.route(),
            true,
            demand.customer(),
            0,
            deadline,
            customers ? Optional.of(customer(demand.customer())) : Optional.empty(),
            AllowedRegions.everywhere());
    placements
        .get(random.nextInt(ENTRIES))
        .request(call, AttemptHistory.none(), listener(demand, deadline, outcomes));
  }

  private static ConfigCustomer customer(String name) {
    return new ConfigCustomer(name, List.of(), Optional.empty(), 0, 0, List.of());
  }

  private PlacementListener listener(Demand demand, long deadline, List<Outcome> outcomes) {
    return new PlacementListener() {
      @Override
      public void granted(Grant grant) {
        long sent = fixture.clock.millis();
        Server server = servers.get(grant.server().name());
        server.run(
            () -> {
              double took = fixture.clock.millis() - sent;
              grant.finished(PlacementFixture.answered(took, server.report()));
              if (fixture.clock.millis() <= deadline) {
                outcomes.forEach(outcome -> outcome.served++);
              }
            },
            () -> {
              grant.finished(
                  new AttemptReport(
                      new AttemptOutcome.NotRun(
                          new Fault(Step.ADMIT, Peer.BACKEND_SERVER, "", "full")),
                      2,
                      Optional.of(server.report())));
              attempt(demand, deadline, outcomes);
            });
      }

      @Override
      public void refused(Refusal refusal) {
        outcomes.forEach(outcome -> outcome.refusals++);
        long back = patience == Patience.IMMEDIATE ? 20 : refusal.retryAfterMillis();
        fixture.loop.schedule(back, () -> attempt(demand, deadline, outcomes));
      }
    };
  }

  void advance(long millis) {
    fixture.loop.advance(millis);
  }

  /** Counts the outcomes of the requests that are made from now on for a time. */
  void measure(long millis) {
    byCustomer.clear();
    byPriority.clear();
    counting = true;
    fixture.loop.advance(millis);
    counting = false;
    fixture.loop.advance(2 * DEADLINE_MILLIS);
  }

  /** Has requests of 80 customers and three priorities made within a tenth of a second. */
  void herd(int requests) {
    byCustomer.clear();
    byPriority.clear();
    counting = true;
    for (int i = 0; i < requests; i++) {
      Demand demand = new Demand("c" + i % 80, i % 3, 0);
      fixture.loop.schedule(1 + random.nextLong(HERD_MILLIS), () -> ask(demand));
    }
    fixture.loop.advance(HERD_MILLIS + 1);
    counting = false;
    fixture.loop.advance(2 * DEADLINE_MILLIS);
  }

  Outcome of(String customer) {
    return byCustomer.getOrDefault(customer, new Outcome());
  }

  Outcome of(int priority) {
    return byPriority.getOrDefault(priority, new Outcome());
  }

  /** Returns the outcomes of all customers but one together. */
  Outcome others(String customer) {
    Outcome total = new Outcome();
    byCustomer.forEach(
        (name, outcome) -> {
          if (!name.equals(customer)) {
            total.asked += outcome.asked;
            total.served += outcome.served;
            total.refusals += outcome.refusals;
          }
        });
    return total;
  }
}
