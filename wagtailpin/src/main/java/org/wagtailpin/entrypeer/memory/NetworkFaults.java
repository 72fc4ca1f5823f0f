package org.wagtailpin.entrypeer.memory;

/**
 * Delay, loss and duplication of messages on a {@link MemoryPeerNetwork}.
 *
 * @param minDelayMillis the shortest delay of a message, in milliseconds, at least 0
 * @param maxDelayMillis the longest delay of a message, in milliseconds
 * @param lossProbability the probability that a message is lost, 0 to 1
 * @param duplicateProbability the probability that a message is delivered twice, 0 to 1
 */
public record NetworkFaults(
    long minDelayMillis, long maxDelayMillis, double lossProbability, double duplicateProbability) {

  /** Returns settings with which each message is delivered once, after 1 ms. */
  public static NetworkFaults none() {
    return new NetworkFaults(1, 1, 0, 0);
  }
}
