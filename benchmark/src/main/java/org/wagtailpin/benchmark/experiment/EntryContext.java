package org.wagtailpin.benchmark.experiment;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.routing.Locality;
import org.wagtailpin.routing.PlacementObserver;
import org.wagtailpin.routing.TaskScheduler;

/**
 * What a version gets to make the placement of one entry.
 *
 * @param number the number of the entry, from 0
 * @param entries how many entries there are
 * @param seed the seed of the run
 * @param locality where the entry stands
 * @param config the configuration
 * @param clock the clock
 * @param scheduler runs tasks later on the entry's event loop
 * @param statistics the entry's learnt service times
 * @param observer told of the decisions
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
