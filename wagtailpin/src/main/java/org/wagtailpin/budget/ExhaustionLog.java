package org.wagtailpin.budget;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;

/**
 * Logs when a budget begins to be exhausted and when it no longer is, as this entry sees it as a
 * holder. Confined to the control loop.
 */
final class ExhaustionLog {

  /** Without a denial for this long a budget is no longer exhausted. */
  private static final double END_MILLIS = 5_000;

  private static final class Exhausted {
    private final double sinceMillis;
    private double lastMillis;
    private long denied;

    private Exhausted(double sinceMillis) {
      this.sinceMillis = sinceMillis;
    }
  }

  private final EventLog events;
  private final Map<BudgetKey, Exhausted> exhausted = new HashMap<>();

  ExhaustionLog(EventLog events) {
    this.events = events;
  }

  void denied(BudgetKey budget, double nowMillis) {
    Exhausted state = exhausted.get(budget);
    if (state == null) {
      state = new Exhausted(nowMillis);
      exhausted.put(budget, state);
      events.recordEvent(
          Event.of(EventKind.BUDGET_EXHAUSTED)
              .with("kind", budget.kind().label())
              .with("name", budget.name()));
    }
    state.lastMillis = nowMillis;
    state.denied++;
  }

  void update(double nowMillis) {
    Iterator<Map.Entry<BudgetKey, Exhausted>> states = exhausted.entrySet().iterator();
    while (states.hasNext()) {
      Map.Entry<BudgetKey, Exhausted> entry = states.next();
      Exhausted state = entry.getValue();
      if (nowMillis - state.lastMillis >= END_MILLIS) {
        states.remove();
        events.recordEvent(
            Event.of(EventKind.BUDGET_AVAILABLE)
                .with("kind", entry.getKey().kind().label())
                .with("name", entry.getKey().name())
                .with("exhaustedMillis", Math.round(state.lastMillis - state.sinceMillis))
                .with("denied", state.denied));
      }
    }
  }
}
