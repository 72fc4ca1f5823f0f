package org.wagtailpin.claims;

import java.util.concurrent.atomic.LongAdder;

/** Counts what the claims of one entry did and what they asked of the store. */
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

  /** Returns the number of writes asked of the store. */
  public long storeWrites() {
    return storeWrites.sum();
  }

  /** Returns the number of reads and lists asked of the store. */
  public long storeReads() {
    return storeReads.sum();
  }

  /** Returns the number of leases asked of the store. */
  public long storeLeases() {
    return storeLeases.sum();
  }

  /** Returns the size of the values written, in bytes. */
  public long bytesWritten() {
    return bytesWritten.sum();
  }

  /** Returns the size of the values read, in bytes. */
  public long bytesRead() {
    return bytesRead.sum();
  }

  /** Returns the number of writes that found the log changed by another entry. */
  public long conflicts() {
    return conflicts.sum();
  }

  /** Returns the number of claims that this entry wrote for others and for itself. */
  public long claimsWritten() {
    return claimsWritten.sum();
  }
}
