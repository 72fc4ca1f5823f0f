package org.wagtailpin.backend;

import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The identifiers of the last requests that a connection carried.
 *
 * <p>Only their hashes are kept, to bound the memory. Two identifiers with one hash do no harm: a
 * request then uses another connection. One thread adds, any thread asks.
 */
final class CarriedRequests {

  /** A server repeats an answer where one of the next answers is due. */
  private static final int CAPACITY = 64;

  private final AtomicIntegerArray hashes = new AtomicIntegerArray(CAPACITY);
  private final AtomicLong count = new AtomicLong();

  void add(String identifier) {
    long added = count.get();
    hashes.set((int) (added % CAPACITY), identifier.hashCode());
    count.set(added + 1);
  }

  boolean contains(String identifier) {
    int hash = identifier.hashCode();
    long kept = Math.min(count.get(), CAPACITY);
    for (int i = 0; i < kept; i++) {
      if (hashes.get(i) == hash) {
        return true;
      }
    }
    return false;
  }
}
