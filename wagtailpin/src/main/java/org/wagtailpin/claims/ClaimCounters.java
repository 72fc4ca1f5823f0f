package org.wagtailpin.claims;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of one entry's claims and of the store calls made for them, since the entry started.
 * Safe for use by all threads.
 */
public final class ClaimCounters {

  private final LongAdder storeWrites = new LongAdder();
  private final LongAdder storeReads = new LongAdder();
  private final LongAdder storeLeases = new LongAdder();
  private final LongAdder bytesWritten = new LongAdder();
  private final LongAdder bytesRead = new LongAdder();
  private final LongAdder conflicts = new LongAdder();
  private final LongAdder claimsWritten = new LongAdder();

  void countWrite(int bytes) {
    storeWrites.increment();
    bytesWritten.add(bytes);
  }

  void countRead() {
    storeReads.increment();
  }

  void countBytesRead(int bytes) {
    bytesRead.add(bytes);
  }

  void countLease() {
    storeLeases.increment();
  }

  void countConflict() {
    conflicts.increment();
  }

  void countClaims(int claims) {
    claimsWritten.add(claims);
  }

  /** Returns the number of write calls sent to the store, including retries and failed ones. */
  public long storeWrites() {
    return storeWrites.sum();
  }

  /** Returns the number of read and list calls sent to the store. */
  public long storeReads() {
    return storeReads.sum();
  }

  /** Returns the number of lease grants requested from the store. */
  public long storeLeases() {
    return storeLeases.sum();
  }

  /** Returns the total size of the values sent in write calls, in bytes. */
  public long bytesWritten() {
    return bytesWritten.sum();
  }

  /** Returns the total size of the values read when listing logs, in bytes. */
  public long bytesRead() {
    return bytesRead.sum();
  }

  /** Returns the number of log writes refused because the log had changed in the meantime. */
  public long conflicts() {
    return conflicts.sum();
  }

  /** Returns the number of claims that this entry granted, for itself and for other entries. */
  public long claimsWritten() {
    return claimsWritten.sum();
  }
}
