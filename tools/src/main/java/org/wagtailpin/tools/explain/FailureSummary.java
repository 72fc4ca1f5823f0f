package org.wagtailpin.tools.explain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts failed requests by cause and time interval. */
final class FailureSummary {

  private static final long INTERVAL_MILLIS = 10_000;
  private static final int MAX_CAUSES = 1_000;
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final String OTHER_CAUSES = "other";
  private static final String NOT_RUN_PREFIX = "not run: ";

  private final Map<String, Map<Long, Long>> counts = new TreeMap<>();

  void recordEvent(LogLine line) {
    if (line.isEvent("unread")) {
      count(line, "status " + line.text("status") + " before a call: " + line.text("step"));
    } else if (line.isEvent("ended") && failed(line)) {
      count(line, cause(line));
    }
  }

  private static boolean failed(LogLine line) {
    String outcome = line.text("outcome");
    boolean answered = outcome.equals("answered") || outcome.equals("replayed");
    return !answered || line.fields().path("status").asInt() >= MIN_SERVER_ERROR_STATUS;
  }

  private static String cause(LogLine line) {
    String detail = line.text("detail");
    String rule =
        detail.startsWith(NOT_RUN_PREFIX)
            ? " (" + detail.substring(NOT_RUN_PREFIX.length()) + ")"
            : "";
    String step = line.text("step").isEmpty() ? "" : " at " + line.text("step");
    return line.text("outcome") + " " + line.text("status") + step + rule;
  }

  private void count(LogLine line, String cause) {
    String name = counts.containsKey(cause) || counts.size() < MAX_CAUSES ? cause : OTHER_CAUSES;
    long intervalStartMillis = Math.floorDiv(line.timeMillis(), INTERVAL_MILLIS) * INTERVAL_MILLIS;
    counts.computeIfAbsent(name, n -> new TreeMap<>()).merge(intervalStartMillis, 1L, Long::sum);
  }

  /** Returns a line for each cause with its total, followed by a line for each interval. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    counts.forEach(
        (cause, countsByInterval) -> {
          long total = countsByInterval.values().stream().mapToLong(Long::longValue).sum();
          lines.add(total + "  " + cause);
          countsByInterval.forEach(
              (intervalStartMillis, count) ->
                  lines.add("    " + Instant.ofEpochMilli(intervalStartMillis) + "  " + count));
        });
    return lines;
  }
}
