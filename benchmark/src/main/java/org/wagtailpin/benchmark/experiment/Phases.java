package org.wagtailpin.benchmark.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wagtailpin.benchmark.experiment.ExperimentFile.PhaseSpec;

/** The phases of a run, with the measurements of one version in each. */
final class Phases {

  private final List<PhaseSpec> specs;
  private final List<PhaseTally> tallies = new ArrayList<>();

  Phases(List<PhaseSpec> specs) {
    this.specs = specs;
    specs.forEach(spec -> tallies.add(new PhaseTally()));
  }

  List<PhaseSpec> specs() {
    return specs;
  }

  PhaseTally tally(int phase) {
    return tallies.get(phase);
  }

  long totalMillis() {
    return specs.stream().mapToLong(PhaseSpec::millis).sum();
  }

  /** Returns the offered load at a time from the start of a run, 0 after the last phase. */
  double load(double atMillis) {
    return index(atMillis).map(i -> specs.get(i).load()).orElse(0.0);
  }

  /**
   * Returns the tally for calls that arrive at a time from the start of a run; empty in settling
   * times and in phases that are not measured.
   */
  Optional<PhaseTally> tallyAt(double atMillis) {
    Optional<Integer> index = index(atMillis);
    if (index.isEmpty()) {
      return Optional.empty();
    }
    PhaseSpec spec = specs.get(index.get());
    boolean settled = atMillis - startMillis(index.get()) >= spec.settleMillis();
    return settled && spec.measured() ? Optional.of(tallies.get(index.get())) : Optional.empty();
  }

  private Optional<Integer> index(double atMillis) {
    double end = 0;
    for (int i = 0; i < specs.size(); i++) {
      end += specs.get(i).millis();
      if (atMillis < end) {
        return Optional.of(i);
      }
    }
    return Optional.empty();
  }

  private double startMillis(int phase) {
    return specs.subList(0, phase).stream().mapToLong(PhaseSpec::millis).sum();
  }
}
