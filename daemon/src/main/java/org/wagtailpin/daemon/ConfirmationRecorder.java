package org.wagtailpin.daemon;

import java.util.Optional;
import java.util.function.Supplier;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigInForce;
import org.wagtailpin.config.StateConfirmation;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.registry.WatchPhase;

/**
 * Writes an event when an entry's state has not been confirmed for too long, again whenever that
 * time has doubled, and when it is confirmed again. Runs on the control loop.
 */
final class ConfirmationRecorder {

  /** The store answers a watcher at least once per watch, which lasts up to 28 s. */
  static final long WATCHER_LIMIT_MILLIS = 40_000;

  static final long FOLLOWER_LIMIT_MILLIS = 5_000;
  private static final long PERIOD_MILLIS = 1_000;

  private final ControlLoop loop;
  private final Clock clock;
  private final EventLog events;
  private final Supplier<ConfigInForce> inForce;
  private final Supplier<Optional<StateConfirmation>> confirmation;
  private final Supplier<WatchPhase> phase;
  private long startMillis;
  private long reportedMillis;

  /**
   * Creates a recorder that is not started.
   *
   * @param loop runs the checks
   * @param clock measures ages
   * @param events receives the events
   * @param inForce supplies the configuration in force
   * @param confirmation supplies the last confirmation of the entry's state, empty if there is none
   * @param phase supplies what the watch of the store waits for
   */
  ConfirmationRecorder(
      ControlLoop loop,
      Clock clock,
      EventLog events,
      Supplier<ConfigInForce> inForce,
      Supplier<Optional<StateConfirmation>> confirmation,
      Supplier<WatchPhase> phase) {
    this.loop = loop;
    this.clock = clock;
    this.events = events;
    this.inForce = inForce;
    this.confirmation = confirmation;
    this.phase = phase;
  }

  /** Starts the checks, which go on until the control loop ends. */
  void start() {
    startMillis = clock.millis();
    scheduleCheck();
  }

  private void scheduleCheck() {
    loop.schedule(
        PERIOD_MILLIS,
        () -> {
          try {
            check();
          } finally {
            scheduleCheck();
          }
        });
  }

  private void check() {
    Optional<StateConfirmation> last = confirmation.get();
    long ageMillis = clock.millis() - last.map(StateConfirmation::atMillis).orElse(startMillis);
    WatchPhase now = phase.get();
    boolean watching = now.awaits() != WatchPhase.Awaits.STOPPED;
    long limitMillis = watching ? WATCHER_LIMIT_MILLIS : FOLLOWER_LIMIT_MILLIS;
    if (ageMillis < limitMillis) {
      if (reportedMillis > 0) {
        record(EventKind.CONFIG_CONFIRMED, last, ageMillis, now);
      }
      reportedMillis = 0;
    } else if (ageMillis >= 2 * reportedMillis) {
      reportedMillis = ageMillis;
      record(EventKind.CONFIG_UNCONFIRMED, last, ageMillis, now);
    }
  }

  private void record(
      EventKind kind, Optional<StateConfirmation> last, long ageMillis, WatchPhase now) {
    events.recordEvent(
        Event.of(kind)
            .with("revision", inForce.get().revision())
            .with("inForceMillis", clock.millis() - inForce.get().sinceMillis())
            .with("confirmedBy", last.map(StateConfirmation::by).orElse(""))
            .with("confirmedMillis", ageMillis)
            .with("awaits", now.awaits().label())
            .with("waitMillis", clock.millis() - now.sinceMillis()));
  }
}
