package org.wagtailpin.examples;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.membership.LimitShares;
import org.wagtailpin.region.AllowedRegions;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.AttemptReport;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.Grant;
import org.wagtailpin.routing.LeavingHosts;
import org.wagtailpin.routing.LoadProbe;
import org.wagtailpin.routing.Locality;
import org.wagtailpin.routing.PlacementListener;
import org.wagtailpin.routing.PlacementObserver;
import org.wagtailpin.routing.QueueingPlacement;
import org.wagtailpin.routing.Refusal;
import org.wagtailpin.routing.SharedRandom;

/**
 * Two customers of one service, of which one floods it for a while, in simulated time.
 *
 * <p>Shows how a {@link QueueingPlacement} is used, and what each customer is served: the flood
 * gets what the other one leaves.
 */
public final class CustomerFloodExample {

  private static final String SERVICE = "orders";
  private static final int SLOTS = 10;
  private static final long WORK_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 1_000;
  private static final long PHASE_MILLIS = 6_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long SEED = 1;

  /** What a customer asked for in a phase, and what it got. */
  public static final class Served {
    private int asked;
    private int answered;

    /** Returns the part of the requests that were answered in time. */
    public double share() {
      return asked == 0 ? 1 : (double) answered / asked;
    }
  }

  private final ManualClock clock = new ManualClock(0);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final QueueingPlacement placement = createPlacement();
  private Map<String, Served> phase = new TreeMap<>();

  private QueueingPlacement createPlacement() {
    ConfigServer server =
        new ConfigServer("s1", "10.0.0.1", 80, "north", "n1", SLOTS, SLOTS, false);
    ConfigSnapshot config =
        new ConfigSnapshot(
            1,
            List.of(
                new ConfigService(SERVICE, false, List.of(), Optional.empty()),
                new ConfigServerSet("set", SERVICE, List.of(server))));
    return new QueueingPlacement(
        () -> config,
        new Locality("north", "n1"),
        onlyEntry(),
        new LeavingHosts(),
        clock,
        new SharedRandom(SEED),
        loop::schedule,
        new RouteStatistics(clock),
        PlacementObserver.none(),
        LoadProbe.none());
  }

  private static LimitShares onlyEntry() {
    return new LimitShares() {
      @Override
      public int integerShare(String limitName, int limit) {
        return limit;
      }

      @Override
      public double share(double limit) {
        return limit;
      }
    };
  }

  private void ask(String customer) {
    Served served = phase.computeIfAbsent(customer, name -> new Served());
    served.asked++;
    attempt(customer, served, clock.millis() + DEADLINE_MILLIS);
  }

  private void attempt(String customer, Served served, long deadline) {
    if (clock.millis() >= deadline) {
      return;
    }
    ConfigRoute route =
        new ConfigRoute(
            SERVICE,
            Optional.empty(),
            "/",
            Set.of(),
            SERVICE,
            Optional.empty(),
            DEADLINE_MILLIS,
            IdempotencyKeyRule.IGNORED,
            false);
    CallDescriptor call =
        new CallDescriptor(
            "request",
            route,
            true,
            "",
            0,
            deadline,
            Optional.of(new ConfigCustomer(customer, List.of(), Optional.empty(), 0, 0, List.of())),
            AllowedRegions.everywhere());
    placement.request(
        call,
        AttemptHistory.none(),
        new PlacementListener() {
          @Override
          public void granted(Grant grant) {
            loop.schedule(WORK_MILLIS, () -> answer(grant, served, deadline));
          }

          @Override
          public void refused(Refusal refusal) {
            loop.schedule(refusal.retryAfterMillis(), () -> attempt(customer, served, deadline));
          }
        });
  }

  private void answer(Grant grant, Served served, long deadline) {
    grant.finished(
        new AttemptReport(
            new AttemptOutcome.Answered(200), (double) WORK_MILLIS, Optional.empty()));
    if (clock.millis() <= deadline) {
      served.answered++;
    }
  }

  /**
   * Has customers make requests at even intervals.
   *
   * @param perSecond the requests per second of each customer
   * @return what each customer was served
   */
  public Map<String, Served> play(Map<String, Integer> perSecond) {
    phase = new TreeMap<>();
    perSecond.forEach(
        (customer, rate) -> {
          for (long i = 0; i < PHASE_MILLIS * rate / MILLIS_PER_SECOND; i++) {
            loop.schedule(1 + i * MILLIS_PER_SECOND / rate, () -> ask(customer));
          }
        });
    loop.advance(PHASE_MILLIS + 2 * DEADLINE_MILLIS);
    return phase;
  }

  /**
   * Prints what the customers are served before and during the flood.
   *
   * @param args none
   */
  public static void main(String[] args) {
    CustomerFloodExample example = new CustomerFloodExample();
    Map<String, Map<String, Integer>> phases = new TreeMap<>();
    phases.put("1 usual", Map.of("bakery", 40, "fair", 20));
    phases.put("2 flood", Map.of("bakery", 40, "fair", 180));
    phases.put("3 after", Map.of("bakery", 40, "fair", 20));
    System.out.printf(
        Locale.ROOT, "%-8s %-8s %8s %8s %8s%n", "phase", "customer", "asked", "served", "share");
    phases.forEach(
        (name, perSecond) ->
            example
                .play(perSecond)
                .forEach(
                    (customer, served) ->
                        System.out.printf(
                            Locale.ROOT,
                            "%-8s %-8s %8d %8d %8.3f%n",
                            name,
                            customer,
                            served.asked,
                            served.answered,
                            served.share())));
  }
}
