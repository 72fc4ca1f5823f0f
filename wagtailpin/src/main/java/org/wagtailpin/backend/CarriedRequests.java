package org.wagtailpin.backend;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.BitSet;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The last requests that a connection carried: their identifiers, and which were HEAD requests.
 *
 * <p>Only the hashes of identifiers are kept, to bound the memory. Two identifiers with one hash do
 * no harm: a request then uses another connection. One thread writes, any thread reads.
 */
final class CarriedRequests {

  /** A server repeats an answer where one of the next answers is due. */
  private static final int CAPACITY = 64;

  private final AtomicLongArray hashes = new AtomicLongArray(CAPACITY);
  private final BitSet heads = new BitSet(CAPACITY);
  private final AtomicLong count = new AtomicLong();

  void add(String identifier, boolean head) {
    long added = count.get();
    int place = (int) (added % CAPACITY);
    hashes.set(place, hash(identifier));
    heads.set(place, head);
    count.set(added + 1);
  }

  /** Returns whether one of the requests had an identifier. */
  boolean contains(String identifier) {
    return placeOf(identifier) >= 0;
  }

  /**
   * Returns whether the request with an identifier was a HEAD request. Only for the adding thread.
   */
  boolean isHead(String identifier) {
    int place = placeOf(identifier);
    return place >= 0 && heads.get(place);
  }

  private static long hash(String identifier) {
    return Hashing.xxh3_64().hashCharsToLong(identifier);
  }

  private int placeOf(String identifier) {
    long hash = hash(identifier);
    for (int i = (int) Math.min(count.get(), CAPACITY) - 1; i >= 0; i--) {
      if (hashes.get(i) == hash) {
        return i;
      }
    }
    return -1;
  }
}
