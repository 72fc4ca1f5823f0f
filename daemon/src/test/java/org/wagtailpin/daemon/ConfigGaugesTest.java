package org.wagtailpin.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigInForce;
import org.wagtailpin.config.StateConfirmation;
import org.wagtailpin.registry.WatchPhase;

class ConfigGaugesTest {

  private static final long START_MILLIS = 1_000;

  private final ManualClock clock = new ManualClock(START_MILLIS);
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private Optional<StateConfirmation> confirmation = Optional.empty();
  private Optional<WatchPhase> phase = Optional.empty();

  @BeforeEach
  void register() {
    ConfigGauges.register(
        registry, clock, () -> new ConfigInForce(7, START_MILLIS), () -> confirmation, () -> phase);
  }

  /** Returns the samples of a gauge, each as its labels and its value. */
  private String samples(String gauge) {
    return registry.scrape(gauge::equals).stream()
        .flatMap(metric -> ((GaugeSnapshot) metric).getDataPoints().stream())
        .map(point -> point.getLabels() + "=" + point.getValue())
        .collect(Collectors.joining(" "));
  }

  @Test
  void theRevisionInForceAndItsAgeAreShown() {
    clock.advance(1_500);

    assertThat(samples("wagtailpin_config_revision")).isEqualTo("{}=7.0");
    assertThat(samples("wagtailpin_config_revision_age_seconds")).isEqualTo("{}=1.5");
  }

  @Test
  void theAgeOfTheLastConfirmationIsShownWithWhoGaveIt() {
    assertThat(samples("wagtailpin_config_confirmation_age_seconds")).isEmpty();

    confirmation = Optional.of(new StateConfirmation("e2", START_MILLIS));
    clock.advance(2_000);

    assertThat(samples("wagtailpin_config_confirmation_age_seconds")).isEqualTo("{by=\"e2\"}=2.0");
  }

  @Test
  void aWatchWithNothingOutstandingIsShownWithItsDuration() {
    phase = Optional.of(new WatchPhase(WatchPhase.Awaits.NOTHING, START_MILLIS));
    clock.advance(60_000);

    assertThat(samples("wagtailpin_store_watch_wait_seconds"))
        .isEqualTo("{awaits=\"nothing\"}=60.0");
  }

  @Test
  void anEntryThatDoesNotWatchTheStoreShowsNoWatch() {
    phase = Optional.of(new WatchPhase(WatchPhase.Awaits.STOPPED, START_MILLIS));

    assertThat(samples("wagtailpin_store_watch_wait_seconds")).isEmpty();
  }
}
