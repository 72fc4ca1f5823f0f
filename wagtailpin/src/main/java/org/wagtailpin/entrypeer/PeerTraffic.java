package org.wagtailpin.entrypeer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of the messages that one entry sent and received, and of their bytes without TCP and IP
 * headers. Thread-safe.
 */
public final class PeerTraffic {

  private final LongAdder sentFrames = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedFrames = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();

  void recordSent(long bytes) {
    sentFrames.increment();
    sentBytes.add(bytes);
  }

  void recordReceived(long bytes) {
    receivedFrames.increment();
    receivedBytes.add(bytes);
  }

  /** Returns the number of messages sent since the start. */
  public long sentFrames() {
    return sentFrames.sum();
  }

  /** Returns the number of bytes sent, including the length prefixes. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the number of messages received since the start. */
  public long receivedFrames() {
    return receivedFrames.sum();
  }

  /** Returns the number of message bytes received, without the length prefixes. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }
}
