package org.wagtailpin.entrypeer.memory;

/**
 * How a network in memory treats messages.
 *
 * @param minDelayMillis the shortest delay of a message, in milliseconds, at least 0
 * @param maxDelayMillis the longest delay of a message, in milliseconds
 * @param lossProbability how likely a message is lost, 0 to 1
 * @param duplicateProbability how likely a message arrives twice, 0 to 1
 */
public record NetworkFaults(
    long minDelayMillis, long maxDelayMillis, double lossProbability, double duplicateProbability) {

  /** Returns a network that delivers each message once, after 1 ms. */
  public static NetworkFaults none() {
    return new NetworkFaults(1, 1, 0, 0);
  }
}
