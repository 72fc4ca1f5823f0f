package org.wagtailpin.routing;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.Tunable;

/**
 * Probes servers for the calls that wait in a queue, so that servers that other entries have freed
 * are found without an answer to this entry.
 *
 * <p>Rounds follow one another no sooner than reports of load get old. Most of them probe near
 * servers only, as each entry with a queue repeats them and traffic between regions is dear.
 */
final class QueueProbes {

  /** Rounds of which one includes servers of other regions. */
  private static final int FAR_ROUNDS = 5;

  private final Clock clock;
  private final ProbeRounds probes;

  QueueProbes(Clock clock, ProbeRounds probes) {
    this.clock = clock;
    this.probes = probes;
  }

  /**
   * Probes servers for the call that is next in the queue, if it is time to. Called in a round of
   * the queue only.
   *
   * @param service the service
   * @param request the request of that call
   * @param serveQueue serves the queue by the new load reports
   */
  void run(ServiceState service, PlacementRequest request, Runnable serveQueue) {
    ProbeSchedule schedule = service.queue().probeSchedule();
    double now = clock.exactMillis();
    double pauseMillis = service.view().settings().value(Tunable.REPORT_FRESH_MILLIS);
    if (!schedule.tryBegin(now, pauseMillis)) {
      return;
    }
    Runnable ended =
        () -> {
          schedule.end();
          serveQueue.run();
        };
    if (schedule.isFarDue(now, FAR_ROUNDS * pauseMillis)) {
      probes.run(service, request, ended);
    } else {
      probes.runNear(service, request, ended);
    }
  }
}
