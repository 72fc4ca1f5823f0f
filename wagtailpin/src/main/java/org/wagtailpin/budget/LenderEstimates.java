package org.wagtailpin.budget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How many units of one budget the holders of other domains are estimated to have: what each stated
 * last, and what accrued since. Not thread-safe.
 */
final class LenderEstimates {

  /** For how long a holder that did not answer is not asked again, in milliseconds. */
  private static final double SILENCE_MILLIS = 1_000;

  /** A loan of less is not worth its messages. */
  private static final double MIN_LOAN = 0.1;

  private record Stated(String entry, double units, double atMillis) {}

  private final Map<String, Stated> statedByDomain = new HashMap<>();

  /** Records what a holder has left. */
  void stated(BudgetPeers.Holder holder, double units, double nowMillis) {
    statedByDomain.put(holder.domain(), new Stated(holder.entry(), units, nowMillis));
  }

  /** Records that a holder did not answer, or does not hold the share. */
  void silent(BudgetPeers.Holder holder, double nowMillis) {
    statedByDomain.put(
        holder.domain(),
        new Stated(holder.entry(), Double.NEGATIVE_INFINITY, nowMillis + SILENCE_MILLIS));
  }

  /** Returns the estimate for a holder; one that has stated nothing yet is taken to be full. */
  double units(BudgetPeers.Holder holder, double perMilli, double capacity, double nowMillis) {
    Stated stated = statedByDomain.get(holder.domain());
    if (stated == null || !stated.entry().equals(holder.entry())) {
      return capacity;
    }
    if (Double.isInfinite(stated.units())) {
      return nowMillis < stated.atMillis() ? 0 : capacity;
    }
    double accrued = Math.max(0, nowMillis - stated.atMillis()) * perMilli;
    return Math.min(capacity, stated.units() + accrued);
  }

  /** Returns the holders that are worth asking, the one with the most units first. */
  List<BudgetPeers.Holder> byUnits(
      List<BudgetPeers.Holder> holders, double perMilli, double capacity, double nowMillis) {
    List<BudgetPeers.Holder> sorted = new ArrayList<>();
    Map<BudgetPeers.Holder, Double> estimates = new HashMap<>();
    for (BudgetPeers.Holder holder : holders) {
      double units = units(holder, perMilli, capacity, nowMillis);
      if (units >= MIN_LOAN) {
        sorted.add(holder);
        estimates.put(holder, units);
      }
    }
    sorted.sort(Comparator.comparing((BudgetPeers.Holder h) -> -estimates.get(h)));
    return sorted;
  }
}
