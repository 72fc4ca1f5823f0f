/** Measurements of the shared state: its size and the time to write, read, check and merge it. */
package org.wagtailpin.benchmark.state;
