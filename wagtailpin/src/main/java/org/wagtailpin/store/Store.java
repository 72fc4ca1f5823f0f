package org.wagtailpin.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's key-value store.
 *
 * <p>The store assigns each change a revision, a number that increases over the whole store. Reads
 * are linearizable at the store, but a response can be outdated by the time it arrives. Every call
 * counts against the store's rate limit; a watch counts as one call, however long it waits. The
 * futures never complete exceptionally: failures are reported as result types.
 */
public interface Store {

  /**
   * Reads a key.
   *
   * @param key the full key
   */
  CompletableFuture<ReadResult> read(String key);

  /**
   * Reads a key, for which a store may answer with a state that is seconds old. A store that offers
   * such reads charges less for them.
   *
   * @param key the full key
   * @param timeoutMillis the time after which the call fails, in milliseconds, if the store client
   *     allows one for a single call; calls after that use none of the connections open before
   */
  default CompletableFuture<ReadResult> readStale(String key, long timeoutMillis) {
    return read(key);
  }

  /**
   * Reads all keys that start with a prefix.
   *
   * @param prefix the common start of the keys, compared literally
   */
  CompletableFuture<ListResult> list(String prefix);

  /**
   * Writes a key if the condition holds.
   *
   * @param key the full key
   * @param value the new value, at most 1 MB
   * @param condition the condition for the write to take effect
   * @param lease the lease with whose end the key is deleted; empty for a permanent key
   */
  CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease);

  /**
   * Deletes a key if the condition holds.
   *
   * @param key the full key
   * @param condition the condition for the deletion to take effect
   */
  CompletableFuture<WriteResult> delete(String key, WriteCondition condition);

  /**
   * Requests a new lease.
   *
   * @param ttlMillis the time to live of the lease without renewal, in milliseconds, 100 to
   *     86400000
   */
  CompletableFuture<LeaseResult> grantLease(long ttlMillis);

  /**
   * Renews a lease for its full time to live.
   *
   * @param lease a lease that was granted before
   */
  CompletableFuture<LeaseResult> renewLease(LeaseId lease);

  /**
   * Revokes a lease, which deletes the keys written under it.
   *
   * @param lease a lease that was granted before
   */
  CompletableFuture<LeaseResult> revokeLease(LeaseId lease);

  /**
   * Waits for changes of keys that start with a prefix.
   *
   * @param prefix the common start of the keys, compared literally
   * @param afterRevision only changes later than this revision are returned
   * @param waitMillis how long the store waits for a change before it returns an empty result, in
   *     milliseconds, 0 to 60000
   */
  CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis);
}
