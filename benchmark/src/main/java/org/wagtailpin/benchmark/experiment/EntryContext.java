package org.wagtailpin.benchmark.experiment;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.routing.Locality;
import org.wagtailpin.routing.PlacementObserver;
import org.wagtailpin.routing.TaskScheduler;

/**
 * What a {@link Version} needs to create the placement of one entry.
 *
 * @param number the number of the entry, from 0
 * @param entries number of entries
 * @param seed the seed of the run
 * @param locality region and failure domain of the entry
 * @param config the configuration, which does not change during a run
 * @param clock the clock of deadlines and service times
 * @param scheduler runs delayed tasks on the entry's event loop
 * @param statistics service-time statistics of the entry
 * @param observer receives the placement decisions
 */
record EntryContext(
    int number,
    int entries,
    long seed,
    Locality locality,
    ConfigSource config,
    Clock clock,
    TaskScheduler scheduler,
    RouteStatistics statistics,
    PlacementObserver observer) {}
