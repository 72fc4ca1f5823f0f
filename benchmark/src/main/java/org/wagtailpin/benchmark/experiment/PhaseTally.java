package org.wagtailpin.benchmark.experiment;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;

/** Latencies and counts of one phase, summed over all runs of a version. Safe for all threads. */
final class PhaseTally {

  private static final long MAX_LATENCY_MICROS = 60_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1000;

  final ConcurrentHistogram shortWork =
      new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  final ConcurrentHistogram patientWork =
      new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  final ConcurrentHistogram longWork =
      new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private final Map<String, ConcurrentHistogram> shortByService = new ConcurrentHashMap<>();
  final LongAdder offered = new LongAdder();
  final LongAdder inTime = new LongAdder();
  final LongAdder refused = new LongAdder();
  final LongAdder failed = new LongAdder();
  final LongAdder repeated = new LongAdder();
  final LongAdder untrueRefusals = new LongAdder();
  final LongAdder retries = new LongAdder();
  final LongAdder crossRegionBytes = new LongAdder();
  final LongAdder probes = new LongAdder();

  /** Records the latency of an answer and whether it came before its deadline. */
  void recordAnswer(String service, WorkClass workClass, double millis, boolean beforeDeadline) {
    long micros = Math.max(0, Math.min(MAX_LATENCY_MICROS, (long) (millis * MICROS_PER_MILLI)));
    histogram(workClass).recordValue(micros);
    if (workClass == WorkClass.SHORT) {
      shortWorkHistogram(service).recordValue(micros);
    }
    if (beforeDeadline) {
      inTime.increment();
    }
  }

  private ConcurrentHistogram histogram(WorkClass workClass) {
    return switch (workClass) {
      case SHORT -> shortWork;
      case PATIENT -> patientWork;
      case LONG -> longWork;
    };
  }

  /** Returns a percentile of the latencies of one class of work, in milliseconds. */
  double percentileMillis(WorkClass workClass, double percentile) {
    return histogram(workClass).getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private ConcurrentHistogram shortWorkHistogram(String service) {
    return shortByService.computeIfAbsent(
        service, name -> new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS));
  }

  /** Returns a percentile of the latencies of one service's short work, in milliseconds. */
  double shortWorkPercentileMillis(String service, double percentile) {
    return shortWorkHistogram(service).getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
