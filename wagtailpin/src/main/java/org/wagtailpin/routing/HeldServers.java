package org.wagtailpin.routing;

import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigServer;

/**
 * Servers that are in a state for a time, such as a pause, and that leave it by themselves.
 *
 * <p>A state belongs to one incarnation of a server and outlasts changes of the configuration. The
 * observer is notified once of its start and once of its end, however often it is prolonged. Safe
 * for all threads.
 */
final class HeldServers {

  /** Time for which the end of a state is remembered, so that work can ramp up after it. */
  private static final long REMEMBERED_MILLIS = 60_000;

  private record Hold(ConfigServer server, double sinceMillis, double untilMillis) {}

  private final Clock clock;
  private final TaskScheduler scheduler;
  private final PlacementObserver observer;
  private final ServerChange started;
  private final ServerChange ended;
  private final ConcurrentHashMap<String, Hold> holds = new ConcurrentHashMap<>();

  /**
   * Creates an empty set.
   *
   * @param clock the clock
   * @param scheduler schedules the ends of the states
   * @param observer notified of each start and end
   * @param started the change that is reported at the start
   * @param ended the change that is reported at the end
   */
  HeldServers(
      Clock clock,
      TaskScheduler scheduler,
      PlacementObserver observer,
      ServerChange started,
      ServerChange ended) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.observer = observer;
    this.started = started;
    this.ended = ended;
  }

  /**
   * Puts a server into the state. A later end replaces an earlier one, but not the other way round.
   *
   * @param server the server
   * @param untilMillis when the state ends, by {@link Clock#exactMillis()}
   */
  void hold(ConfigServer server, double untilMillis) {
    double now = clock.exactMillis();
    if (untilMillis <= now) {
      return;
    }
    Hold fresh = new Hold(server, now, untilMillis);
    Hold before = holds.put(server.name(), fresh);
    if (before == null
        || before.untilMillis() <= now
        || !RoutingTable.sameInstance(before.server(), server)) {
      observer.serverChanged(server, started);
      scheduleEnd(fresh);
    } else if (before.untilMillis() > untilMillis) {
      holds.replace(server.name(), fresh, new Hold(server, now, before.untilMillis()));
    }
  }

  private void scheduleEnd(Hold hold) {
    double remainingMillis = hold.untilMillis() - clock.exactMillis();
    scheduler.schedule((long) Math.ceil(Math.max(0, remainingMillis)), () -> endIfDue(hold));
  }

  private void endIfDue(Hold scheduled) {
    String name = scheduled.server().name();
    Hold current = holds.get(name);
    if (current == null || !RoutingTable.sameInstance(current.server(), scheduled.server())) {
      return;
    }
    if (current.untilMillis() > clock.exactMillis()) {
      scheduleEnd(current);
      return;
    }
    observer.serverChanged(current.server(), ended);
    scheduler.schedule(REMEMBERED_MILLIS, () -> holds.remove(name, current));
  }

  /** Returns the time until a server leaves the state, 0 if it is not in the state. */
  double millisUntilReleased(ConfigServer server, double nowMillis) {
    return Math.max(0, releasedAtMillis(server) - nowMillis);
  }

  /** Returns when a server leaves or has left the state; infinitely long ago if not known. */
  double releasedAtMillis(ConfigServer server) {
    Hold hold = holdOf(server);
    return hold == null ? Double.NEGATIVE_INFINITY : hold.untilMillis();
  }

  /** Returns when a server was last put into the state; infinitely long ago if not known. */
  double heldAtMillis(ConfigServer server) {
    Hold hold = holdOf(server);
    return hold == null ? Double.NEGATIVE_INFINITY : hold.sinceMillis();
  }

  private Hold holdOf(ConfigServer server) {
    Hold hold = holds.isEmpty() ? null : holds.get(server.name());
    return hold != null && RoutingTable.sameInstance(hold.server(), server) ? hold : null;
  }
}
