/** Open-loop load over HTTP, with latencies counted from the intended send time. */
package org.wagtailpin.benchmark.load;
