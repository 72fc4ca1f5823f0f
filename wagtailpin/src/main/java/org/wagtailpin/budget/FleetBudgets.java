package org.wagtailpin.budget;

import java.util.function.Consumer;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.eventlog.EventLog;

/**
 * Budgets of which each failure domain owns a share, held by one of its entries. The protocol is
 * described in {@code docs/design/shared-budgets.md}. Thread-safe; all work is done on the control
 * loop.
 */
public final class FleetBudgets implements SharedBudgets {

  private final ControlLoop loop;
  private final ShareHolder holder;
  private final EntryUnits units;
  private boolean stopped;

  /**
   * Creates budgets without units.
   *
   * @param self the identifier of this entry
   * @param settings the bounds
   * @param limits the sizes of the budgets
   * @param peers the holders of the shares
   * @param link sends requests to other entries
   * @param loop runs all work
   * @param clock measures the validity of units
   * @param metrics receives the counts of units
   * @param events receives an event when a budget begins or ends being exhausted
   */
  public FleetBudgets(
      String self,
      BudgetSettings settings,
      BudgetLimits limits,
      BudgetPeers peers,
      BudgetLink link,
      ControlLoop loop,
      Clock clock,
      BudgetMetrics metrics,
      EventLog events) {
    this(
        self, settings, limits, peers, link, loop, clock, metrics, events, EntryUnits.VALID_MILLIS);
  }

  /** Creates budgets whose units are valid for another time, to test that it matters. */
  FleetBudgets(
      String self,
      BudgetSettings settings,
      BudgetLimits limits,
      BudgetPeers peers,
      BudgetLink link,
      ControlLoop loop,
      Clock clock,
      BudgetMetrics metrics,
      EventLog events,
      double validMillis) {
    this.loop = loop;
    this.holder =
        new ShareHolder(settings, limits, peers, link, clock, metrics, new ExhaustionLog(events));
    this.units = new EntryUnits(self, peers, holder, link, clock, metrics, validMillis);
  }

  /** Starts to hold shares. Must be called on the control loop. */
  public void start() {
    if (!stopped) {
      try {
        holder.tick();
      } finally {
        loop.schedule(CreditClock.TICK_MILLIS, this::start);
      }
    }
  }

  /** Ends the timer. Must be called on the control loop. */
  public void stop() {
    stopped = true;
  }

  /**
   * Answers a request of another entry. Must be called on the control loop.
   *
   * @param request the request
   * @param listener called once on the control loop, possibly before this method returns
   */
  public void answer(BudgetRequest request, Consumer<BudgetReply> listener) {
    holder.request(request, listener);
  }

  @Override
  public void request(BudgetKey budget, int units, Consumer<BudgetAnswer> listener) {
    loop.execute(() -> this.units.request(budget, units, listener));
  }
}
