/**
 * Measures the store traffic, added latency and stored state of claims by the rate of calls with
 * idempotency keys.
 */
package org.wagtailpin.benchmark.claims;
