package org.wagtailpin.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigInForce;
import org.wagtailpin.config.StateConfirmation;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.registry.WatchPhase;

class ConfirmationRecorderTest {

  private static final long START_MILLIS = 1_000;
  private static final long CHECK_MILLIS = 1_000;
  private static final long HOUR_MILLIS = 3_600_000;

  private final ManualClock clock = new ManualClock(START_MILLIS);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final List<Event> events = new ArrayList<>();
  private Optional<StateConfirmation> confirmation = Optional.empty();
  private WatchPhase phase = new WatchPhase(WatchPhase.Awaits.STOPPED, START_MILLIS);

  /** Event log that keeps the events in a list. */
  private final class ListedEvents implements EventLog {
    @Override
    public void begin(String request) {}

    @Override
    public void recordEvent(Event event) {
      events.add(event);
    }

    @Override
    public void end(String request, boolean failed) {}
  }

  @BeforeEach
  void start() {
    new ConfirmationRecorder(
            loop,
            clock,
            new ListedEvents(),
            () -> new ConfigInForce(7, START_MILLIS),
            () -> confirmation,
            () -> phase)
        .start();
  }

  private void confirmBy(String by) {
    confirmation = Optional.of(new StateConfirmation(by, clock.millis()));
  }

  @Test
  void aFollowerThatItsWatcherConfirmsIsNotLogged() {
    for (int i = 0; i < 100; i++) {
      confirmBy("e2");
      loop.advance(ConfirmationRecorder.FOLLOWER_LIMIT_MILLIS - CHECK_MILLIS);
    }

    assertThat(events).isEmpty();
  }

  @Test
  void aFollowerThatIsNoLongerConfirmedIsLoggedWithItsWatcherAndRevision() {
    confirmBy("e2");
    loop.advance(ConfirmationRecorder.FOLLOWER_LIMIT_MILLIS + CHECK_MILLIS);

    assertThat(events).hasSize(1);
    Event event = events.get(0);
    assertThat(event.kind()).isEqualTo(EventKind.CONFIG_UNCONFIRMED);
    assertThat(event.value("revision")).isEqualTo(Optional.of(7L));
    assertThat(event.value("confirmedBy")).isEqualTo(Optional.of("e2"));
    assertThat(event.value("awaits")).isEqualTo(Optional.of("stopped"));
  }

  @Test
  void aWatcherWithNothingOutstandingIsLoggedWithHowLongThatLasts() {
    phase = new WatchPhase(WatchPhase.Awaits.NOTHING, START_MILLIS);
    confirmBy(StateConfirmation.STORE);
    loop.advance(ConfirmationRecorder.WATCHER_LIMIT_MILLIS - CHECK_MILLIS);
    assertThat(events).isEmpty();
    loop.advance(2 * CHECK_MILLIS);

    assertThat(events).hasSize(1);
    assertThat(events.get(0).value("awaits")).isEqualTo(Optional.of("nothing"));
    assertThat((Long) events.get(0).value("waitMillis").orElseThrow())
        .isAtLeast(ConfirmationRecorder.WATCHER_LIMIT_MILLIS);
  }

  @Test
  void aStateThatIsConfirmedAgainIsLoggedOnce() {
    loop.advance(ConfirmationRecorder.FOLLOWER_LIMIT_MILLIS + CHECK_MILLIS);
    confirmBy("e2");
    loop.advance(2 * CHECK_MILLIS);

    assertThat(events.stream().map(Event::kind))
        .containsExactly(EventKind.CONFIG_UNCONFIRMED, EventKind.CONFIG_CONFIRMED)
        .inOrder();
  }

  @Test
  void anHourWithoutConfirmationTakesTenLinesAtMost() {
    loop.advance(HOUR_MILLIS);

    assertThat(events.size()).isAtMost(10);
    assertThat(events.size()).isAtLeast(2);
  }
}
