package org.wagtailpin.benchmark.claims;

/**
 * What one rate of claims cost, over the whole fleet.
 *
 * @param claimsPerSecond the rate of arrivals
 * @param grantedPerSecond the claims granted a second
 * @param refused the claims that were not granted
 * @param writesPerSecond the store's writes a second
 * @param readsPerSecond the store's reads and lists a second
 * @param bytesPerSecond the bytes of the values written a second
 * @param medianMillis the median time from the claim to its grant, in milliseconds
 * @param p99Millis the 99th percentile of that time, in milliseconds
 * @param elapsedMicrosPerClaim the machine's time a claim, all entries, store and network in one
 *     process, in microseconds
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
