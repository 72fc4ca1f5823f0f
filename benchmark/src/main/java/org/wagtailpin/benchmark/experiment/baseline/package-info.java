/** Baseline placement policies for comparison, and a bound with global knowledge of all slots. */
package org.wagtailpin.benchmark.experiment.baseline;
