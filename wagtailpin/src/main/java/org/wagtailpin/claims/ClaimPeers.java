package org.wagtailpin.claims;

import java.util.concurrent.CompletableFuture;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.ClaimRequest;
import org.wagtailpin.entrypeer.generated.ClaimSettle;
import org.wagtailpin.entrypeer.generated.HeldAnswerRequest;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * Sends claim requests, releases and outcome queries to the responsible entry, or handles them
 * locally if that is this entry; also handles those that other entries send.
 */
final class ClaimPeers {

  /** Time allowed for a reply in addition to the time for which the other entry waits. */
  static final long REPLY_MARGIN_MILLIS = 100;

  private static final long SETTLE_TIMEOUT_MILLIS = 1_000;

  private final PeerMessenger messenger;
  private final OwnedShards ownedShards;
  private final DispatchRecords records;

  ClaimPeers(PeerMessenger messenger, OwnedShards ownedShards, DispatchRecords records) {
    this.messenger = messenger;
    this.ownedShards = ownedShards;
    this.records = records;
  }

  /** Registers the handlers for the claim messages of other entries. */
  void registerHandlers() {
    messenger.setHandler(
        PeerFrame.BodyCase.CLAIM_REQUEST, frame -> answerClaim(frame.getClaimRequest()));
    messenger.setHandler(
        PeerFrame.BodyCase.CLAIM_SETTLE, frame -> answerSettle(frame.getClaimSettle()));
    messenger.setHandler(
        PeerFrame.BodyCase.HELD_ANSWER_REQUEST, frame -> answerHeld(frame.getHeldAnswerRequest()));
  }

  private CompletableFuture<PeerFrame.Builder> answerClaim(ClaimRequest request) {
    return ownedShards
        .claim(
            KeyHash.of(new ClaimKey(request.getScope(), request.getKey())),
            request.getFingerprint(),
            request.getAttempt(),
            request.getWaitMillis(),
            request.getOwnerUnreachable())
        .thenApply(ClaimMessages::claimReply);
  }

  private CompletableFuture<PeerFrame.Builder> answerSettle(ClaimSettle settle) {
    KeyHash key = KeyHash.of(new ClaimKey(settle.getScope(), settle.getKey()));
    boolean recorded = settle.getNotRun() && ownedShards.release(key, settle.getAttempt());
    return CompletableFuture.completedFuture(ClaimMessages.settleReply(recorded));
  }

  private CompletableFuture<PeerFrame.Builder> answerHeld(HeldAnswerRequest request) {
    return records
        .outcome(request.getAttempt(), request.getWaitMillis())
        .thenApply(ClaimMessages::heldReply);
  }

  /**
   * Requests that an entry record a claim.
   *
   * @param waitMillis how long that entry waits for the store, in milliseconds
   */
  CompletableFuture<PeerReply> claim(
      String entry,
      ClaimKey key,
      long fingerprint,
      String attempt,
      long waitMillis,
      boolean ownerUnreachable) {
    if (entry.equals(messenger.self())) {
      return ownedShards
          .claim(KeyHash.of(key), fingerprint, attempt, waitMillis, ownerUnreachable)
          .thenApply(verdict -> new PeerReply.Answered(ClaimMessages.claimReply(verdict).build()));
    }
    PeerFrame.Builder frame =
        ClaimMessages.claimRequest(key, fingerprint, attempt, waitMillis, ownerUnreachable);
    return messenger.request(entry, frame, waitMillis + REPLY_MARGIN_MILLIS);
  }

  /**
   * Notifies an entry that the work of an attempt was not run, so that it releases the key.
   *
   * @return whether the entry replied; for this entry, whether it serves the key's shard
   */
  CompletableFuture<Boolean> release(String entry, ClaimKey key, String attempt) {
    if (entry.equals(messenger.self())) {
      return CompletableFuture.completedFuture(ownedShards.release(KeyHash.of(key), attempt));
    }
    return messenger
        .request(entry, ClaimMessages.settleNotRun(key, attempt), SETTLE_TIMEOUT_MILLIS)
        .thenApply(reply -> reply instanceof PeerReply.Answered);
  }

  /**
   * Queries the outcome of an attempt from the entry that made it; {@link HeldOutcome.NotHeld} if
   * that entry does not reply.
   */
  CompletableFuture<HeldOutcome> outcome(AttemptId attempt, ClaimKey key, long waitMillis) {
    if (attempt.entry().equals(messenger.self())) {
      return records.outcome(attempt.text(), waitMillis);
    }
    PeerFrame.Builder frame = ClaimMessages.heldRequest(key, attempt.text(), waitMillis);
    return messenger
        .request(attempt.entry(), frame, waitMillis + REPLY_MARGIN_MILLIS)
        .thenApply(
            reply ->
                reply instanceof PeerReply.Answered answered
                    ? ClaimMessages.heldOutcome(answered.frame())
                    : new HeldOutcome.NotHeld());
  }
}
