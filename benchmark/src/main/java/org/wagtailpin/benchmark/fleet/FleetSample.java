package org.wagtailpin.benchmark.fleet;

/**
 * Control-plane cost of one entry, averaged over a fleet, except for the store calls.
 *
 * @param entries number of entries in the fleet
 * @param sentBytesPerSecond bytes of messages sent, without TCP overhead
 * @param sentMessagesPerSecond messages sent
 * @param controlPercentOfCore CPU time of the control thread, in percent of a core
 * @param networkPercentOfCore CPU time of the network thread, in percent of a core
 * @param heapBytes live heap after a garbage collection
 * @param leaseCallsPerSecond store calls that grant, renew or revoke leases, of the whole fleet
 * @param otherCallsPerSecond other store calls, of the whole fleet
 */
record FleetSample(
    int entries,
    double sentBytesPerSecond,
    double sentMessagesPerSecond,
    double controlPercentOfCore,
    double networkPercentOfCore,
    double heapBytes,
    double leaseCallsPerSecond,
    double otherCallsPerSecond) {}
