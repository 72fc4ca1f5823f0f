package org.wagtailpin.benchmark.claims;

/**
 * Cost of claims at one arrival rate, over the whole fleet.
 *
 * @param claimsPerSecond the arrival rate
 * @param grantedPerSecond claims granted per second
 * @param refused number of claims that were not granted
 * @param writesPerSecond store writes per second
 * @param readsPerSecond store reads and lists per second
 * @param bytesPerSecond bytes of the values written per second
 * @param medianMillis median simulated time from the claim to its grant, in milliseconds
 * @param p99Millis 99th percentile of that time, in milliseconds
 * @param elapsedMicrosPerClaim elapsed time of this machine per granted claim, in microseconds;
 *     covers the simulation of all entries, the store and the network in one process
 */
record ClaimLoadResult(
    double claimsPerSecond,
    double grantedPerSecond,
    long refused,
    double writesPerSecond,
    double readsPerSecond,
    double bytesPerSecond,
    long medianMillis,
    long p99Millis,
    double elapsedMicrosPerClaim) {

  static String heading() {
    return String.format(
        "%10s %10s %8s %8s %7s %9s %7s %7s %9s",
        "claims/s",
        "granted/s",
        "refused",
        "writes/s",
        "reads/s",
        "KB/s",
        "p50 ms",
        "p99 ms",
        "us/claim");
  }

  String row() {
    return String.format(
        "%10.0f %10.1f %8d %8.1f %7.2f %9.1f %7d %7d %9.1f",
        claimsPerSecond,
        grantedPerSecond,
        refused,
        writesPerSecond,
        readsPerSecond,
        bytesPerSecond / 1000,
        medianMillis,
        p99Millis,
        elapsedMicrosPerClaim);
  }
}
