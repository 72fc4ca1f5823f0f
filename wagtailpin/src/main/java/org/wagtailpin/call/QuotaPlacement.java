package org.wagtailpin.call;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.budget.BudgetAnswer;
import org.wagtailpin.budget.BudgetKey;
import org.wagtailpin.budget.SharedBudgets;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptReport;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.Grant;
import org.wagtailpin.routing.Placement;
import org.wagtailpin.routing.PlacementHandle;
import org.wagtailpin.routing.PlacementListener;
import org.wagtailpin.routing.Refusal;
import org.wagtailpin.routing.TaskScheduler;

/**
 * Placement that takes a unit of the customer's quota for each attempt, once a server is selected.
 *
 * <p>A unit that was taken before would expire while the call is queued, and be lost if the call is
 * refused a server. Each attempt takes one, since an attempt that failed may have run, and a unit
 * taken long before would move a request into a later window. Calls without a quota are passed on
 * unchanged. Thread-safe.
 */
public final class QuotaPlacement implements Placement {

  /** For how long calls of a customer are refused without another request for a unit. */
  private static final double DENIAL_MILLIS = 100;

  /** For how long a call waits for a unit if no holder answers; it keeps a server's slot. */
  private static final double MAX_WAIT_MILLIS = 1_000;

  private static final long RETRY_MILLIS = 40;
  private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 250;

  private record Denial(double atMillis, long retryAfterMillis) {}

  private final Placement placement;
  private final SharedBudgets budgets;
  private final Clock clock;
  private final TaskScheduler scheduler;
  private final Map<String, Denial> denials = new ConcurrentHashMap<>();

  /**
   * Creates a placement.
   *
   * @param placement selects the servers
   * @param budgets grants the units
   * @param clock the clock by which units are valid
   * @param scheduler schedules further requests for units
   */
  public QuotaPlacement(
      Placement placement, SharedBudgets budgets, Clock clock, TaskScheduler scheduler) {
    this.placement = placement;
    this.budgets = budgets;
    this.clock = clock;
    this.scheduler = scheduler;
  }

  @Override
  public PlacementHandle request(
      CallDescriptor call, AttemptHistory history, PlacementListener listener) {
    Optional<ConfigCustomer> limited =
        call.customer().filter(customer -> customer.ratePerSecond() > 0);
    if (limited.isEmpty()) {
      return placement.request(call, history, listener);
    }
    String customer = limited.get().name();
    Optional<Refusal> denied = recentDenial(customer);
    if (denied.isPresent()) {
      listener.refused(denied.get());
      return () -> {};
    }
    UnitRequest request = new UnitRequest(customer, call.deadlineMillis(), listener);
    PlacementHandle handle = placement.request(call, history, request);
    return () -> {
      request.withdrawn = true;
      handle.withdraw();
    };
  }

  private Optional<Refusal> recentDenial(String customer) {
    Denial denial = denials.get(customer);
    if (denial == null) {
      return Optional.empty();
    }
    double agoMillis = clock.exactMillis() - denial.atMillis();
    double leftMillis = denial.retryAfterMillis() - agoMillis;
    if (leftMillis <= 0 || agoMillis > DENIAL_MILLIS) {
      denials.remove(customer, denial);
      return Optional.empty();
    }
    return Optional.of(overQuota((long) Math.ceil(leftMillis)));
  }

  private static Refusal overQuota(long retryAfterMillis) {
    Fault fault =
        new Fault(Step.ADMIT, Peer.SELF, "", "not run: the customer's quota is exhausted");
    return new Refusal(fault, retryAfterMillis, true);
  }

  /** Takes a unit for a call that was granted a server, before the call learns of the grant. */
  private final class UnitRequest implements PlacementListener {
    private final String customer;
    private final long deadlineMillis;
    private final PlacementListener listener;
    private volatile boolean withdrawn;

    UnitRequest(String customer, long deadlineMillis, PlacementListener listener) {
      this.customer = customer;
      this.deadlineMillis = deadlineMillis;
      this.listener = listener;
    }

    @Override
    public void granted(Grant grant) {
      takeUnit(grant, Math.min((double) deadlineMillis, clock.exactMillis() + MAX_WAIT_MILLIS));
    }

    @Override
    public void refused(Refusal refusal) {
      listener.refused(refusal);
    }

    private void takeUnit(Grant grant, double untilMillis) {
      budgets.request(
          BudgetKey.customerQuota(customer), 1, answer -> answered(grant, untilMillis, answer));
    }

    private void answered(Grant grant, double untilMillis, BudgetAnswer answer) {
      if (withdrawn) {
        grant.finished(AttemptReport.notSent());
      } else if (answer instanceof BudgetAnswer.Granted unit) {
        listener.granted(new QuotaGrant(grant, unit.usableUntilMillis()));
      } else if (answer instanceof BudgetAnswer.Denied denied) {
        long retryAfterMillis = denied.retryAfterMillis();
        denials.put(customer, new Denial(clock.exactMillis(), retryAfterMillis));
        grant.finished(AttemptReport.notSent());
        listener.refused(overQuota(retryAfterMillis));
      } else if (clock.exactMillis() + RETRY_MILLIS < untilMillis) {
        scheduler.schedule(RETRY_MILLIS, () -> takeUnit(grant, untilMillis));
      } else {
        grant.finished(AttemptReport.notSent());
        Fault fault =
            new Fault(Step.ADMIT, Peer.ENTRY_PEER, "", "not run: no holder of the quota answers");
        listener.refused(new Refusal(fault, UNAVAILABLE_RETRY_AFTER_MILLIS));
      }
    }
  }

  /** A grant with a unit that expires. */
  private final class QuotaGrant implements Grant {
    private final Grant grant;
    private final double usableUntilMillis;

    QuotaGrant(Grant grant, double usableUntilMillis) {
      this.grant = grant;
      this.usableUntilMillis = usableUntilMillis;
    }

    @Override
    public ConfigServer server() {
      return grant.server();
    }

    @Override
    public boolean usable() {
      return clock.exactMillis() <= usableUntilMillis;
    }

    @Override
    public double silenceMillis() {
      return grant.silenceMillis();
    }

    @Override
    public void unanswered() {
      grant.unanswered();
    }

    @Override
    public void finished(AttemptReport report) {
      grant.finished(report);
    }
  }
}
