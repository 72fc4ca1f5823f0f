package org.wagtailpin.benchmark.experiment;

import java.util.Locale;

/** Formats results as a text table. */
final class ResultTable {

  private static final double PERCENT = 100;
  private static final double BYTES_PER_MEGABYTE = 1e6;

  private ResultTable() {}

  static String of(Results results) {
    StringBuilder table = new StringBuilder();
    table.append(results.name()).append(", seeds ").append(results.seeds()).append('\n');
    table.append("latencies in ms at the entry; caller p99 with the callers' trips\n");
    table.append(
        String.format(
            Locale.ROOT,
            "%-10s %-16s %8s %7s %7s %7s %7s %8s %8s %8s %7s %8s %7s %6s %6s %4s %6s %6s %8s  %s%n",
            "phase",
            "version",
            "offered",
            "s.p50",
            "s.p99",
            "s.p99.9",
            "l.p50",
            "l.p99",
            "w.p99",
            "callP99",
            "in time",
            "good/s",
            "refused",
            "failed",
            "retry",
            "rep",
            "prob/s",
            "probes",
            "xreg MB",
            "short p99 and spread by service"));
    String phase = "";
    for (ResultRow row : results.rows()) {
      if (!phase.isEmpty() && !row.phase().equals(phase)) {
        table.append('\n');
      }
      phase = row.phase();
      table.append(line(row));
    }
    results
        .rules()
        .forEach(
            (version, rules) -> {
              if (!rules.isEmpty()) {
                table.append("rules of ").append(version).append(": ").append(rules).append('\n');
              }
            });
    return table.toString();
  }

  private static String line(ResultRow row) {
    return String.format(
        Locale.ROOT,
        "%-10s %-16s %8d %7.1f %7.1f %7.1f %7.1f %8.1f %8.1f %8.1f"
            + " %6.1f%% %8.0f %6.1f%% %5.1f%% %5.1f%%"
            + " %4d %6.1f %5.2f%% %8.2f  %s%n",
        row.phase(),
        row.version(),
        row.offered(),
        row.shortP50Millis(),
        row.shortP99Millis(),
        row.shortP999Millis(),
        row.longP50Millis(),
        row.longP99Millis(),
        row.patientP99Millis(),
        row.callerShortP99Millis(),
        row.inTimeShare() * PERCENT,
        row.inTimePerSecond(),
        row.refusedShare() * PERCENT,
        row.failedShare() * PERCENT,
        row.retryShare() * PERCENT,
        row.repeated() + row.untrueRefusals(),
        row.probesPerSecond(),
        row.probeShare() * PERCENT,
        row.crossRegionBytesPerSecond() / BYTES_PER_MEGABYTE,
        services(row));
  }

  private static String services(ResultRow row) {
    StringBuilder text = new StringBuilder();
    row.shortP99ByService()
        .forEach(
            (service, millis) ->
                text.append(
                    String.format(
                        Locale.ROOT,
                        "%s %.1f (%.2f) ",
                        service,
                        millis,
                        row.spread().get(service))));
    return text.toString().trim();
  }
}
