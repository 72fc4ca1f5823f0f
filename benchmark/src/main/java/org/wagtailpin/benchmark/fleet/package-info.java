/** Measures what heartbeats, leases and shares cost an entry, by the size of the fleet. */
package org.wagtailpin.benchmark.fleet;
