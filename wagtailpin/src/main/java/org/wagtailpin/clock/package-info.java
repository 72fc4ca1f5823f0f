/** Monotonic and wall-clock time in milliseconds, and a clock for tests in simulated time. */
package org.wagtailpin.clock;
