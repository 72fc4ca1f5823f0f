/** Measures the cost of heartbeats, leases and shares per entry, by the size of the fleet. */
package org.wagtailpin.benchmark.fleet;
