package org.wagtailpin.claims;

import java.util.concurrent.CompletableFuture;

/**
 * Claims on idempotency keys, shared by all entries.
 *
 * <p>A call with a key is dispatched only after {@link ClaimResult.Granted}. The future never
 * completes exceptionally.
 */
public interface Claims {

  /**
   * Claims a key for one dispatch of the work.
   *
   * @param key the key within its scope
   * @param fingerprint a hash of the request; the same key with a different fingerprint is a caller
   *     error and ends in {@link ClaimResult.Reused}
   * @param deadlineMillis the time on {@link org.wagtailpin.clock.Clock#millis()} after which the
   *     caller no longer waits
   */
  CompletableFuture<ClaimResult> claim(ClaimKey key, long fingerprint, long deadlineMillis);

  /**
   * Records the final state of the claimed work. Must be called once for each granted claim.
   *
   * @param token the token of the granted claim
   * @param settlement the final state of the work
   */
  void settle(ClaimToken token, ClaimSettlement settlement);
}
