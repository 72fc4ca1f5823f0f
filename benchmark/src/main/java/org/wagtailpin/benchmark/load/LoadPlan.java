package org.wagtailpin.benchmark.load;

/**
 * Parameters of an open-loop load.
 *
 * @param callsPerSecond average arrival rate, in calls per second, above 0
 * @param seconds how long calls are measured, in seconds, at least 1
 * @param warmUpSeconds how long calls are sent before the measurement, in seconds, at least 0
 * @param method the HTTP method
 * @param path the path with its query
 * @param bodyBytes the size of a request's body, in bytes, at least 0
 * @param maxConnections maximum number of connections, at least 1
 * @param timeoutMillis timeout of a call, in milliseconds, at least 1
 * @param keyed whether each call carries an idempotency key of its own
 * @param seed the seed of the arrival times
 */
public record LoadPlan(
    double callsPerSecond,
    int seconds,
    int warmUpSeconds,
    String method,
    String path,
    int bodyBytes,
    int maxConnections,
    int timeoutMillis,
    boolean keyed,
    long seed) {}
