/** Load generation, experiments and micro-benchmarks. */
package org.wagtailpin.benchmark;
