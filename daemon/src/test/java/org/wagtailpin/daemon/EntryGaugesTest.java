package org.wagtailpin.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.wagtailpin.backend.UnmatchedReason;

class EntryGaugesTest {

  @Test
  void unmatchedAnswersAreCountedByReason() {
    PrometheusRegistry registry = new PrometheusRegistry();
    EntryGauges.registerUnmatchedAnswers(
        registry, reason -> reason == UnmatchedReason.UNSOLICITED ? 3 : 0);

    Map<String, Double> counts =
        registry.scrape("wagtailpin_backend_unmatched_answers"::equals).stream()
            .flatMap(metric -> ((CounterSnapshot) metric).getDataPoints().stream())
            .collect(
                Collectors.toMap(
                    point -> point.getLabels().get("reason"),
                    CounterSnapshot.CounterDataPointSnapshot::getValue));

    assertThat(counts)
        .containsExactly(
            "stale",
            0.0,
            "foreign-identifier",
            0.0,
            "no-identifier",
            0.0,
            "unsolicited",
            3.0,
            "malformed",
            0.0);
  }
}
