package org.wagtailpin.claims;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hasher128;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * 128-bit hash of a claim key. The log contains only the hash, not the key.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
record KeyHash(long high, long low) {

  private static final Hasher128 HASHER = Hashing.murmur3_128();

  static KeyHash of(ClaimKey key) {
    HashValue128 hash = HASHER.hashStream().putString(key.scope()).putString(key.key()).get();
    return new KeyHash(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
  }

  /** Returns the shard of the key, 0 to {@code shards - 1}. */
  int shard(int shards) {
    return (int) Long.remainderUnsigned(low, shards);
  }
}
