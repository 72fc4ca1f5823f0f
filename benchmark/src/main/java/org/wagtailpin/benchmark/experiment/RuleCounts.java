package org.wagtailpin.benchmark.experiment;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.PlacementObserver;
import org.wagtailpin.routing.PlacementReason;
import org.wagtailpin.routing.ServerChange;

/** Counts placement decisions by rule, and state changes of servers. Safe for all threads. */
final class RuleCounts implements PlacementObserver {

  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

  private void count(String outcome) {
    counts.computeIfAbsent(outcome, name -> new LongAdder()).increment();
  }

  @Override
  public void granted(CallDescriptor call, ConfigServer server, PlacementReason reason) {
    count(reason.rule().label());
  }

  @Override
  public void refused(CallDescriptor call, Fault fault, PlacementReason reason) {
    count("refused: " + reason.rule().label());
  }

  @Override
  public void serverChanged(ConfigServer server, ServerChange change) {
    count("server " + change.label());
  }

  @Override
  public void limitChanged(ConfigServer server, Optional<Double> perSecond, double sharePerSecond) {
    count(perSecond.isPresent() ? "limit named" : "limit ended");
  }

  Map<String, Long> counts() {
    Map<String, Long> sums = new TreeMap<>();
    counts.forEach((name, adder) -> sums.put(name, adder.sum()));
    return sums;
  }
}
