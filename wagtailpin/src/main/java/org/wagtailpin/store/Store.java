package org.wagtailpin.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value store.
 *
 * <p>Revisions are numbers that the store gives to its changes, rising over the whole store. Reads
 * are linearizable when answered by the store, but an answer can be old by the time it arrives.
 * Every call counts against the store's rate; a waiting watch counts as one call. The futures never
 * complete exceptionally: a failure is one of the result types.
 */
public interface Store {

  /**
   * Reads a key.
   *
   * @param key the key
   */
  CompletableFuture<ReadResult> read(String key);

  /**
   * Reads all keys that start with a prefix.
   *
   * @param prefix the prefix
   */
  CompletableFuture<ListResult> list(String prefix);

  /**
   * Writes a key if the condition holds.
   *
   * @param key the key
   * @param value the value, at most 1 MB
   * @param condition what must hold for the write to take effect
   * @param lease the lease that the key ends with, empty for a key that stays
   */
  CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease);

  /**
   * Deletes a key if the condition holds.
   *
   * @param key the key
   * @param condition what must hold for the deletion to take effect
   */
  CompletableFuture<WriteResult> delete(String key, WriteCondition condition);

  /**
   * Asks for a new lease.
   *
   * @param ttlMillis how long it lasts without renewal, in milliseconds, 100 to 86400000
   */
  CompletableFuture<LeaseResult> grantLease(long ttlMillis);

  /**
   * Renews a lease for its whole time to live.
   *
   * @param lease the lease
   */
  CompletableFuture<LeaseResult> renewLease(LeaseId lease);

  /**
   * Ends a lease and deletes the keys written under it.
   *
   * @param lease the lease
   */
  CompletableFuture<LeaseResult> revokeLease(LeaseId lease);

  /**
   * Waits for changes of keys that start with a prefix.
   *
   * @param prefix the prefix
   * @param afterRevision only changes later than this revision are told
   * @param waitMillis how long the store waits for a change before it answers with none, in
   *     milliseconds, 0 to 60000
   */
  CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis);
}
