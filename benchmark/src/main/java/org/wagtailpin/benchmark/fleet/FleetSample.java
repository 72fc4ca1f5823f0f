package org.wagtailpin.benchmark.fleet;

/**
 * What one entry of a fleet costs, as a mean over the fleet.
 *
 * @param entries the size of the fleet
 * @param sentBytesPerSecond bytes of messages sent, without TCP's own
 * @param sentMessagesPerSecond messages sent
 * @param controlPercentOfCore processor time of the control thread
 * @param networkPercentOfCore processor time of the network thread
 * @param heapBytes the heap that is live
 * @param leaseCallsPerSecond the store's calls about leases, over the whole fleet
 * @param otherCallsPerSecond the store's other calls, over the whole fleet
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
