package org.wagtailpin.claims;

import java.util.concurrent.CompletableFuture;

/**
 * Claims on idempotency keys over all entries.
 *
 * <p>A call with a key is dispatched only after {@link ClaimResult.Granted}. The future never
 * completes exceptionally.
 */
public interface Claims {

  /**
   * Claims a key for one dispatch.
   *
   * @param key the key within its scope
   * @param fingerprint a hash of what the request asks for; the same key with another fingerprint
   *     is a caller's mistake
   * @param deadlineMillis the time by {@link org.wagtailpin.clock.Clock#millis()} after which the
   *     caller no longer waits
   */
  CompletableFuture<ClaimResult> claim(ClaimKey key, long fingerprint, long deadlineMillis);

  /**
   * Records how the claimed work ended. Must be called once for each granted claim.
   *
   * @param token the token of the granted claim
   * @param settlement how it ended
   */
  void settle(ClaimToken token, ClaimSettlement settlement);
}
