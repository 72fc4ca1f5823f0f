/** Measurements of the shared configuration state: its size and the times to process it. */
package org.wagtailpin.benchmark.state;
