package org.wagtailpin.routing;

import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigServer;

/**
 * Remembers which servers state that they are leaving, and which want no requests for a time.
 *
 * <p>A statement holds for one run of a server, whatever registrations of that run are read later.
 * Safe for all threads.
 */
public final class ServerNotices implements ServerNoticeListener {

  /** Time for which a server is remembered that leaves; it is usually gone within a minute. */
  private static final long LEAVING_MILLIS = 3_600_000;

  /** The same for a server without a start time, whose next run can't be told from this one. */
  private static final long LEAVING_UNKNOWN_START_MILLIS = 60_000;

  private final Clock clock;
  private final TaskScheduler scheduler;
  private final PlacementObserver observer;
  private final ConcurrentHashMap<String, ConfigServer> leaving = new ConcurrentHashMap<>();
  private final HeldServers paused;

  /**
   * Creates a memory of statements.
   *
   * @param clock the clock
   * @param scheduler schedules the ends of pauses
   * @param observer notified of each start and end
   */
  public ServerNotices(Clock clock, TaskScheduler scheduler, PlacementObserver observer) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.observer = observer;
    this.paused =
        new HeldServers(clock, scheduler, observer, ServerChange.PAUSED, ServerChange.RESUMED);
  }

  @Override
  public void noticed(ConfigServer server, ServerNotice notice) {
    if (notice.leaving()) {
      recordLeaving(server);
    }
    if (notice.pauseMillis() > 0) {
      paused.hold(server, clock.exactMillis() + notice.pauseMillis());
    }
  }

  private void recordLeaving(ConfigServer server) {
    ConfigServer before = leaving.get(server.name());
    boolean known = before != null && RoutingTable.sameInstance(before, server);
    boolean older = before != null && before.startedMillis() > server.startedMillis();
    if (known || older) {
      return;
    }
    leaving.put(server.name(), server);
    observer.serverChanged(server, ServerChange.STATES_LEAVING);
    long millis = server.startedMillis() == 0 ? LEAVING_UNKNOWN_START_MILLIS : LEAVING_MILLIS;
    scheduler.schedule(millis, () -> leaving.remove(server.name(), server));
  }

  /** Returns whether a server has stated that it is leaving. */
  boolean isLeaving(ConfigServer server) {
    ConfigServer stated = leaving.isEmpty() ? null : leaving.get(server.name());
    return stated != null && RoutingTable.sameInstance(stated, server);
  }

  /** Returns the time for which a server still wants no requests, in milliseconds. */
  double pauseMillis(ConfigServer server, double nowMillis) {
    return paused.millisUntilReleased(server, nowMillis);
  }

  /** Returns when the last pause of a server ends or ended, infinitely long ago if none. */
  double resumedAtMillis(ConfigServer server) {
    return paused.releasedAtMillis(server);
  }
}
