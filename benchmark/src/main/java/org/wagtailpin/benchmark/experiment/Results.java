package org.wagtailpin.benchmark.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wagtailpin.benchmark.experiment.ExperimentFile.PhaseSpec;
import org.wagtailpin.benchmark.experiment.ExperimentFile.ServiceSpec;

/**
 * The results of an experiment.
 *
 * @param name the name of the experiment
 * @param seeds the seeds
 * @param rows one row for each measured phase and version
 * @param rules number of decisions by each rule, by version, over all phases
 */
record Results(
    String name, List<Long> seeds, List<ResultRow> rows, Map<String, Map<String, Long>> rules) {

  private static final double MILLIS_PER_SECOND = 1000;

  static Results of(ExperimentFile file, List<VersionResult> versions) {
    List<ResultRow> rows = new ArrayList<>();
    for (int phase = 0; phase < file.phases().size(); phase++) {
      if (file.phases().get(phase).measured()) {
        for (VersionResult version : versions) {
          rows.add(row(file, phase, version));
        }
      }
    }
    Map<String, Map<String, Long>> rules = new TreeMap<>();
    versions.forEach(version -> rules.put(version.name(), version.rules().counts()));
    return new Results(file.name(), file.seeds(), rows, rules);
  }

  private static ResultRow row(ExperimentFile file, int phase, VersionResult version) {
    PhaseSpec spec = file.phases().get(phase);
    PhaseTally tally = version.phases().tally(phase);
    double offered = Math.max(1, tally.offered.sum());
    double seconds =
        (spec.millis() - spec.settleMillis()) / MILLIS_PER_SECOND * file.seeds().size();
    Map<String, Double> spread = new TreeMap<>();
    Map<String, Double> byService = new TreeMap<>();
    for (ServiceSpec service : file.services()) {
      spread.put(service.name(), version.spread(service.name()));
      byService.put(service.name(), tally.shortWorkPercentileMillis(service.name(), 99));
    }
    return new ResultRow(
        spec.name(),
        version.name(),
        tally.offered.sum(),
        tally.percentileMillis(WorkClass.SHORT, 50),
        tally.percentileMillis(WorkClass.SHORT, 99),
        tally.percentileMillis(WorkClass.SHORT, 99.9),
        tally.percentileMillis(WorkClass.LONG, 50),
        tally.percentileMillis(WorkClass.LONG, 99),
        tally.percentileMillis(WorkClass.PATIENT, 99),
        tally.percentileMillis(WorkClass.SHORT, 99) + 2 * file.callerMillis(),
        tally.inTime.sum() / offered,
        tally.inTime.sum() / seconds,
        tally.refused.sum() / offered,
        tally.failed.sum() / offered,
        tally.retries.sum() / offered,
        tally.repeated.sum(),
        tally.untrueRefusals.sum(),
        tally.probes.sum() / seconds,
        tally.probes.sum() / offered,
        tally.crossRegionBytes.sum() / seconds,
        spread,
        byService);
  }
}
