package org.wagtailpin.claims;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/**
 * The claimant's side of one claim, from the first request to the result.
 *
 * <p>Each request to a shard owner uses a new attempt id. The outcome of an attempt is decided here
 * exactly once: an abandoned attempt is never dispatched, whatever reply arrives later.
 */
final class ClaimCall {

  private static final int MAX_REQUESTS = 3;

  private final ClaimKey key;
  private final long fingerprint;
  private final long deadlineMillis;
  private final int shard;
  private final ClaimContext context;
  private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
  private int requests;

  ClaimCall(ClaimKey key, long fingerprint, long deadlineMillis, int shard, ClaimContext context) {
    this.key = key;
    this.fingerprint = fingerprint;
    this.deadlineMillis = deadlineMillis;
    this.shard = shard;
    this.context = context;
  }

  CompletableFuture<ClaimResult> result() {
    return result;
  }

  void start() {
    requestClaim(context.owners().owner(shard), false);
  }

  private void requestClaim(Optional<String> entry, boolean ownerUnreachable) {
    long waitMillis =
        Math.min(
            context.settings().maxClaimWaitMillis(),
            deadlineMillis - clock().millis() - ClaimPeers.REPLY_MARGIN_MILLIS);
    if (entry.isEmpty() || requests >= MAX_REQUESTS || waitMillis <= 0) {
      completeUnavailable(entry.orElse(""), waitMillis <= 0 ? "no time left" : "no owner to ask");
      return;
    }
    requests++;
    String attempt = context.attempts().next().text();
    context.records().start(attempt);
    Continuation.attach(
        context.peers().claim(entry.get(), key, fingerprint, attempt, waitMillis, ownerUnreachable),
        reply -> handleReply(reply, entry.get(), attempt, ownerUnreachable));
  }

  private Clock clock() {
    return context.clock();
  }

  private void handleReply(
      PeerReply reply, String entry, String attempt, boolean ownerUnreachable) {
    if (reply instanceof PeerReply.Answered answered) {
      handleVerdict(ClaimMessages.verdict(answered.frame()), entry, attempt);
    } else if (reply instanceof PeerReply.NotSent notSent) {
      abandonAttempt(attempt);
      if (ownerUnreachable) {
        completeUnavailable(entry, notSent.fault().detail());
      } else {
        requestClaim(context.owners().backupOwner(shard), true);
      }
    } else {
      abandonAttempt(attempt);
      context.releases().send(key, shard, attempt);
      completeUnavailable(entry, "no answer from the owner of the key");
    }
  }

  private void handleVerdict(ClaimVerdict verdict, String entry, String attempt) {
    if (verdict instanceof ClaimVerdict.Granted) {
      completeGranted(entry, attempt);
      return;
    }
    abandonAttempt(attempt);
    if (verdict instanceof ClaimVerdict.Claimed claimed) {
      fetchOutcome(claimed.attempt());
    } else if (verdict instanceof ClaimVerdict.Reused reused) {
      result.complete(
          new ClaimResult.KeyReused(fault(reused.attempt(), "key used for another request")));
    } else if (verdict instanceof ClaimVerdict.Unavailable refused) {
      completeUnavailable(entry, refused.detail());
    } else {
      requestClaim(context.owners().owner(shard).filter(other -> !other.equals(entry)), false);
    }
  }

  private void completeGranted(String entry, String attempt) {
    if (clock().millis() > deadlineMillis) {
      abandonAttempt(attempt);
      context.releases().send(key, shard, attempt);
      completeUnavailable(entry, "granted after the deadline");
      return;
    }
    result.complete(new ClaimResult.Granted(new ClaimToken(key, attempt)));
  }

  private void abandonAttempt(String attempt) {
    context.records().finish(attempt, new HeldOutcome.NotRun());
  }

  private void fetchOutcome(String holderAttempt) {
    Optional<AttemptId> holder = AttemptId.parse(holderAttempt);
    if (holder.isEmpty()) {
      completeAlreadyDispatched(holderAttempt, "the holder is not known");
      return;
    }
    long waitMillis =
        Math.min(
            context.settings().maxReplayWaitMillis(),
            deadlineMillis - clock().millis() - ClaimPeers.REPLY_MARGIN_MILLIS);
    Continuation.attach(
        context.peers().outcome(holder.get(), key, Math.max(1, waitMillis)),
        outcome -> handleOutcome(outcome, holderAttempt));
  }

  private void handleOutcome(HeldOutcome outcome, String holderAttempt) {
    if (outcome instanceof HeldOutcome.Held held) {
      result.complete(new ClaimResult.Replayed(held.answer()));
    } else if (outcome instanceof HeldOutcome.Running) {
      completeAlreadyDispatched(holderAttempt, "still running");
    } else if (outcome instanceof HeldOutcome.NotRun) {
      // The holder never dispatches under this attempt, so the key can be released and claimed.
      context
          .releases()
          .send(
              key, shard, holderAttempt, () -> requestClaim(context.owners().owner(shard), false));
    } else {
      completeAlreadyDispatched(holderAttempt, "the answer is not held");
    }
  }

  private void completeAlreadyDispatched(String holderAttempt, String detail) {
    result.complete(new ClaimResult.AlreadyDispatched(fault(holderAttempt, detail)));
  }

  private void completeUnavailable(String entry, String detail) {
    result.complete(new ClaimResult.Unavailable(fault(entry, detail)));
  }

  private static Fault fault(String peer, String detail) {
    return new Fault(Step.CLAIM_KEY, Peer.ENTRY_PEER, peer, detail);
  }
}
