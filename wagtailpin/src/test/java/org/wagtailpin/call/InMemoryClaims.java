package org.wagtailpin.call;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wagtailpin.claims.ClaimKey;
import org.wagtailpin.claims.ClaimResult;
import org.wagtailpin.claims.ClaimSettlement;
import org.wagtailpin.claims.ClaimToken;
import org.wagtailpin.claims.Claims;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/**
 * In-memory claims that support a single key. The first claim is granted; later ones are answered
 * from the first settlement.
 */
public final class InMemoryClaims implements Claims {

  private final List<ClaimSettlement> settlements = new CopyOnWriteArrayList<>();
  private boolean claimed;
  private long claimedFingerprint;

  public List<ClaimSettlement> settlements() {
    return settlements;
  }

  @Override
  public synchronized CompletableFuture<ClaimResult> claim(
      ClaimKey key, long fingerprint, long deadlineMillis) {
    return CompletableFuture.completedFuture(result(key, fingerprint));
  }

  private ClaimResult result(ClaimKey key, long fingerprint) {
    if (!claimed) {
      claimed = true;
      claimedFingerprint = fingerprint;
      return new ClaimResult.Granted(new ClaimToken(key, "1"));
    }
    if (claimedFingerprint != fingerprint) {
      return new ClaimResult.KeyReused(fault("another request used the key"));
    }
    if (!settlements.isEmpty() && settlements.get(0) instanceof ClaimSettlement.Answered answered) {
      return new ClaimResult.Replayed(answered.answer());
    }
    return new ClaimResult.AlreadyDispatched(fault("the work was dispatched before"));
  }

  private static Fault fault(String detail) {
    return new Fault(Step.CLAIM_KEY, Peer.STORE, "", detail);
  }

  @Override
  public synchronized void settle(ClaimToken token, ClaimSettlement settlement) {
    settlements.add(settlement);
    claimed = !(settlement instanceof ClaimSettlement.NotRun);
  }
}
