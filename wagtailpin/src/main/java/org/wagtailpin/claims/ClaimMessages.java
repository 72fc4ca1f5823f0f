package org.wagtailpin.claims;

import com.google.protobuf.ByteString;
import java.util.List;
import org.wagtailpin.entrypeer.generated.ClaimReply;
import org.wagtailpin.entrypeer.generated.ClaimRequest;
import org.wagtailpin.entrypeer.generated.ClaimSettle;
import org.wagtailpin.entrypeer.generated.Header;
import org.wagtailpin.entrypeer.generated.HeldAnswerReply;
import org.wagtailpin.entrypeer.generated.HeldAnswerRequest;
import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.transport.StatusCodes;

/** Converts claim requests, verdicts and outcomes to peer messages and back. */
final class ClaimMessages {

  private ClaimMessages() {}

  static PeerFrame.Builder claimRequest(
      ClaimKey key, long fingerprint, String attempt, long waitMillis, boolean ownerUnreachable) {
    return PeerFrame.newBuilder()
        .setClaimRequest(
            ClaimRequest.newBuilder()
                .setScope(key.scope())
                .setKey(key.key())
                .setFingerprint(fingerprint)
                .setAttempt(attempt)
                .setWaitMillis(waitMillis)
                .setOwnerUnreachable(ownerUnreachable));
  }

  static PeerFrame.Builder settleNotRun(ClaimKey key, String attempt) {
    return PeerFrame.newBuilder()
        .setClaimSettle(
            ClaimSettle.newBuilder()
                .setScope(key.scope())
                .setKey(key.key())
                .setAttempt(attempt)
                .setNotRun(true));
  }

  static PeerFrame.Builder heldRequest(ClaimKey key, String attempt, long waitMillis) {
    return PeerFrame.newBuilder()
        .setHeldAnswerRequest(
            HeldAnswerRequest.newBuilder()
                .setScope(key.scope())
                .setKey(key.key())
                .setAttempt(attempt)
                .setWaitMillis(waitMillis));
  }

  static PeerFrame.Builder claimReply(ClaimVerdict verdict) {
    ClaimReply.Builder reply = ClaimReply.newBuilder();
    if (verdict instanceof ClaimVerdict.Granted) {
      reply.setVerdict(ClaimReply.Verdict.GRANTED);
    } else if (verdict instanceof ClaimVerdict.Claimed claimed) {
      reply.setVerdict(ClaimReply.Verdict.ALREADY_DISPATCHED).setHolderAttempt(claimed.attempt());
    } else if (verdict instanceof ClaimVerdict.Reused reused) {
      reply.setVerdict(ClaimReply.Verdict.KEY_REUSED).setHolderAttempt(reused.attempt());
    } else if (verdict instanceof ClaimVerdict.Unavailable unavailable) {
      reply.setVerdict(ClaimReply.Verdict.UNAVAILABLE).setDetail(unavailable.detail());
    } else {
      reply.setVerdict(ClaimReply.Verdict.NOT_OWNER);
    }
    return PeerFrame.newBuilder().setClaimReply(reply);
  }

  static PeerFrame.Builder settleReply(boolean recorded) {
    return PeerFrame.newBuilder()
        .setClaimReply(
            ClaimReply.newBuilder()
                .setVerdict(recorded ? ClaimReply.Verdict.RECORDED : ClaimReply.Verdict.NOT_OWNER));
  }

  static ClaimVerdict verdict(PeerFrame frame) {
    ClaimReply reply = frame.getClaimReply();
    return switch (reply.getVerdict()) {
      case GRANTED -> new ClaimVerdict.Granted();
      case ALREADY_DISPATCHED -> new ClaimVerdict.Claimed(reply.getHolderAttempt());
      case KEY_REUSED -> new ClaimVerdict.Reused(reply.getHolderAttempt());
      case NOT_OWNER -> new ClaimVerdict.NotOwner();
      default -> new ClaimVerdict.Unavailable(reply.getDetail());
    };
  }

  static PeerFrame.Builder heldReply(HeldOutcome outcome) {
    HeldAnswerReply.Builder reply = HeldAnswerReply.newBuilder();
    if (outcome instanceof HeldOutcome.Held held) {
      HeldAnswer answer = held.answer();
      reply.setHeld(true).setStatus(answer.status()).setBody(ByteString.copyFrom(answer.body()));
      for (HeldHeader header : answer.headers()) {
        reply.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value()));
      }
    }
    reply.setRunning(outcome instanceof HeldOutcome.Running);
    reply.setNotRun(outcome instanceof HeldOutcome.NotRun);
    return PeerFrame.newBuilder().setHeldAnswerReply(reply);
  }

  static HeldOutcome heldOutcome(PeerFrame frame) {
    HeldAnswerReply reply = frame.getHeldAnswerReply();
    if (reply.getHeld() && !StatusCodes.isFinal(reply.getStatus())) {
      return new HeldOutcome.NotHeld();
    }
    if (reply.getHeld()) {
      List<HeldHeader> headers =
          reply.getHeadersList().stream()
              .map(header -> new HeldHeader(header.getName(), header.getValue()))
              .toList();
      return new HeldOutcome.Held(
          new HeldAnswer(reply.getStatus(), headers, reply.getBody().toByteArray()));
    }
    if (reply.getRunning()) {
      return new HeldOutcome.Running();
    }
    return reply.getNotRun() ? new HeldOutcome.NotRun() : new HeldOutcome.NotHeld();
  }
}
