/** Measures claims: store writes, bytes, added time and state against the rate of keyed calls. */
package org.wagtailpin.benchmark.claims;
