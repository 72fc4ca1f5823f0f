package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.call.RecordingEventLog;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;

class EventLogPlacementObserverTest {

  private final RecordingEventLog events = new RecordingEventLog();
  private final PlacementFixture fixture = new PlacementFixture();

  @Test
  void aRefusalIsLoggedWithWhatTheEntryKnewOfTheServers() {
    fixture.servers(1, 1).tune(Tunable.SERVER_QUEUE, 0).publish();
    QueueingPlacement placement =
        fixture.placement(PlacementFixture.SEED, new EventLogPlacementObserver(events));
    for (int i = 0; i < 3; i++) {
      placement.request(fixture.call(5_000), AttemptHistory.none(), new RecordingListener());
    }
    fixture.loop.advance(2_000);

    assertThat(events.of(EventKind.PLACED)).hasSize(1);
    Event refused = events.of(EventKind.REFUSED).get(0);
    assertThat(refused.value("rule")).isEqualTo(Optional.of("queue-time-over"));
    assertThat(refused.value("candidates")).isEqualTo(Optional.of(1));
    assertThat(refused.value("inFlight")).isEqualTo(Optional.of(1));
    assertThat(refused.value("estimatedLoad")).isEqualTo(Optional.of(1.0));
    assertThat(refused.value("reportAgeMillis")).isEqualTo(Optional.of(-1.0));
    assertThat(refused.value("longWork")).isEqualTo(Optional.of(false));
    assertThat(refused.value("medianMillis")).isPresent();
    assertThat(refused.value("queueLength")).isPresent();
  }

  @Test
  void aRefusalIsLoggedWithTheTimeThatItsWorkNeedsAndWhereThatIsKnownFrom() {
    fixture.servers(1, 1).publish();
    QueueingPlacement placement =
        fixture.placement(PlacementFixture.SEED, new EventLogPlacementObserver(events));
    fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "short", 300);
    fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "short", 300);
    placement.request(fixture.call(5_000), AttemptHistory.none(), new RecordingListener());
    placement.request(fixture.call(200), AttemptHistory.none(), new RecordingListener());

    Event refused = events.of(EventKind.REFUSED).get(0);
    assertThat(refused.value("expectedMillis")).isEqualTo(Optional.of(300.0));
    assertThat(refused.value("remainingMillis")).isEqualTo(Optional.of(200.0));
    assertThat(refused.value("routeAnswers")).isEqualTo(Optional.of(2));
  }
}
