package org.wagtailpin.claims;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/**
 * One claim as its claimant sees it, from the first request to the result.
 *
 * <p>Every request to an owner goes under an attempt of its own, and the outcome of an attempt is
 * settled here once: an attempt that was given up is never dispatched, whatever arrives later.
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
    ask(context.owners().owner(shard), false);
  }

  private void ask(Optional<String> entry, boolean ownerUnreachable) {
    long waitMillis =
        Math.min(
            context.settings().maxClaimWaitMillis(),
            deadlineMillis - clock().millis() - ClaimPeers.REPLY_MARGIN_MILLIS);
    if (entry.isEmpty() || requests >= MAX_REQUESTS || waitMillis <= 0) {
      unavailable(entry.orElse(""), waitMillis <= 0 ? "no time left" : "no owner to ask");
      return;
    }
    requests++;
    String attempt = context.attempts().next().text();
    context.records().start(attempt);
    Continuation.of(
        context.peers().claim(entry.get(), key, fingerprint, attempt, waitMillis, ownerUnreachable),
        reply -> take(reply, entry.get(), attempt, ownerUnreachable));
  }

  private Clock clock() {
    return context.clock();
  }

  private void take(PeerReply reply, String entry, String attempt, boolean ownerUnreachable) {
    if (reply instanceof PeerReply.Answered answered) {
      take(ClaimMessages.verdict(answered.frame()), entry, attempt);
    } else if (reply instanceof PeerReply.NotSent notSent) {
      giveUp(attempt);
      if (ownerUnreachable) {
        unavailable(entry, notSent.fault().detail());
      } else {
        ask(context.owners().standIn(shard), true);
      }
    } else {
      giveUp(attempt);
      context.releases().send(key, shard, attempt);
      unavailable(entry, "no answer from the owner of the key");
    }
  }

  private void take(ClaimVerdict verdict, String entry, String attempt) {
    if (verdict instanceof ClaimVerdict.Granted) {
      grant(entry, attempt);
      return;
    }
    giveUp(attempt);
    if (verdict instanceof ClaimVerdict.Claimed claimed) {
      fetch(claimed.attempt());
    } else if (verdict instanceof ClaimVerdict.Reused reused) {
      result.complete(
          new ClaimResult.KeyReused(fault(reused.attempt(), "key used for another request")));
    } else if (verdict instanceof ClaimVerdict.Unavailable refused) {
      unavailable(entry, refused.detail());
    } else {
      ask(context.owners().owner(shard).filter(other -> !other.equals(entry)), false);
    }
  }

  private void grant(String entry, String attempt) {
    if (clock().millis() > deadlineMillis) {
      giveUp(attempt);
      context.releases().send(key, shard, attempt);
      unavailable(entry, "granted after the deadline");
      return;
    }
    result.complete(new ClaimResult.Granted(new ClaimToken(key, attempt)));
  }

  private void giveUp(String attempt) {
    context.records().finish(attempt, new HeldOutcome.NotRun());
  }

  private void fetch(String holderAttempt) {
    Optional<AttemptId> holder = AttemptId.parse(holderAttempt);
    if (holder.isEmpty()) {
      alreadyDispatched(holderAttempt, "the holder is not known");
      return;
    }
    long waitMillis =
        Math.min(
            context.settings().maxReplayWaitMillis(),
            deadlineMillis - clock().millis() - ClaimPeers.REPLY_MARGIN_MILLIS);
    Continuation.of(
        context.peers().outcome(holder.get(), key, Math.max(1, waitMillis)),
        outcome -> takeOutcome(outcome, holderAttempt));
  }

  private void takeOutcome(HeldOutcome outcome, String holderAttempt) {
    if (outcome instanceof HeldOutcome.Held held) {
      result.complete(new ClaimResult.Replayed(held.answer()));
    } else if (outcome instanceof HeldOutcome.Running) {
      alreadyDispatched(holderAttempt, "still running");
    } else if (outcome instanceof HeldOutcome.NotRun) {
      // The holder will never dispatch under this attempt, so the key can be freed and claimed.
      context
          .releases()
          .send(key, shard, holderAttempt, () -> ask(context.owners().owner(shard), false));
    } else {
      alreadyDispatched(holderAttempt, "the answer is not held");
    }
  }

  private void alreadyDispatched(String holderAttempt, String detail) {
    result.complete(new ClaimResult.AlreadyDispatched(fault(holderAttempt, detail)));
  }

  private void unavailable(String entry, String detail) {
    result.complete(new ClaimResult.Unavailable(fault(entry, detail)));
  }

  private static Fault fault(String peer, String detail) {
    return new Fault(Step.CLAIM_KEY, Peer.ENTRY_PEER, peer, detail);
  }
}
