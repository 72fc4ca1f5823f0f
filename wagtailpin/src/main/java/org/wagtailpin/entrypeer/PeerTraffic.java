package org.wagtailpin.entrypeer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the messages of one entry and their bytes without TCP's own. Safe for all threads. */
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

  /** Returns how many messages were sent. */
  public long sentFrames() {
    return sentFrames.sum();
  }

  /** Returns how many bytes were sent, the lengths before the messages included. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns how many messages were received. */
  public long receivedFrames() {
    return receivedFrames.sum();
  }

  /** Returns how many bytes of messages were received. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }
}
