package org.wagtailpin.benchmark.experiment;

import java.util.HashMap;
import java.util.Map;

/** Measurements of one version, over all its runs. */
final class VersionResult {

  private final String name;
  private final Phases phases;
  private final RuleCounts rules = new RuleCounts();
  private final Map<String, Integer> finishedByServer = new HashMap<>();

  VersionResult(String name, Phases phases) {
    this.name = name;
    this.phases = phases;
  }

  String name() {
    return name;
  }

  Phases phases() {
    return phases;
  }

  RuleCounts rules() {
    return rules;
  }

  void finished(String server, int calls) {
    finishedByServer.merge(server, calls, Integer::sum);
  }

  /** Returns the standard deviation over the mean of the calls run by each server of a service. */
  double spread(String service) {
    double[] calls =
        finishedByServer.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith(service + "-"))
            .mapToDouble(entry -> entry.getValue())
            .toArray();
    double mean = 0;
    for (double count : calls) {
      mean += count / calls.length;
    }
    double variance = 0;
    for (double count : calls) {
      variance += (count - mean) * (count - mean) / calls.length;
    }
    return Math.sqrt(variance) / mean;
  }
}
