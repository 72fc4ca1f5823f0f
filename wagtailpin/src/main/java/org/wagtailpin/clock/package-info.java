/**
 * Monotonic and wall-clock time in milliseconds, a clock for tests in simulated time, and rates by
 * such a clock.
 */
package org.wagtailpin.clock;
