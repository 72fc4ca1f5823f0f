/** Microbenchmarks of the decisions on the traffic path. */
package org.wagtailpin.benchmark.jmh;
