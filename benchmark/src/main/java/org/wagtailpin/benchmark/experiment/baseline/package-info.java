/** Placement policies to compare with: simple ones, and a bound that knows every slot. */
package org.wagtailpin.benchmark.experiment.baseline;
