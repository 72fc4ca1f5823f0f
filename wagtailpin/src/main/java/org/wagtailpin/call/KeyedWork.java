package org.wagtailpin.call;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.wagtailpin.backend.RequestBody;
import org.wagtailpin.claims.ClaimSettlement;
import org.wagtailpin.claims.ClaimToken;
import org.wagtailpin.claims.Claims;
import org.wagtailpin.claims.HeldAnswer;
import org.wagtailpin.claims.HeldHeader;

/**
 * Work run under a claimed idempotency key. Records the answer, up to a maximum length, and settles
 * the claim exactly once. Confined to the call's event loop.
 */
final class KeyedWork {

  private final Claims claims;
  private final ClaimToken token;
  private final int maxHeldAnswerBytes;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private List<HeldHeader> headers = List.of();
  private boolean answerTooLong;
  private boolean settled;

  KeyedWork(Claims claims, ClaimToken token, int maxHeldAnswerBytes) {
    this.claims = claims;
    this.token = token;
    this.maxHeldAnswerBytes = maxHeldAnswerBytes;
  }

  /**
   * Returns a hash of method, path, query and body, by which reuse of a key for another request is
   * detected. A streamed body is represented by its stated length only.
   */
  static long fingerprint(IncomingRequest request, RequestBody body) {
    HashStream64 hash = Hashing.xxh3_64().hashStream();
    hash.putString(request.method());
    hash.putString(request.path());
    hash.putString(request.query().orElse(""));
    if (body instanceof RequestBody.Buffered held) {
      hash.putByteArray(held.bytes());
    } else if (body instanceof RequestBody.Streamed streamed) {
      hash.putLong(streamed.feed().getContentLength());
    }
    return hash.getAsLong();
  }

  void keepHead(int answerStatus, HttpHeaders answerHeaders) {
    status = answerStatus;
    List<HeldHeader> kept = new ArrayList<>(answerHeaders.size());
    for (Map.Entry<String, String> header : answerHeaders) {
      kept.add(new HeldHeader(header.getKey(), header.getValue()));
    }
    headers = kept;
  }

  void keepPart(ByteBuf part) {
    if (body.size() + part.readableBytes() > maxHeldAnswerBytes) {
      answerTooLong = true;
      body.reset();
    }
    if (!answerTooLong) {
      byte[] bytes = new byte[part.readableBytes()];
      part.getBytes(part.readerIndex(), bytes);
      body.writeBytes(bytes);
    }
  }

  /**
   * Returns whether everything received of the answer so far is held. Once it is not, the answer
   * cannot be replayed, and the work is of no use to a caller that has disconnected.
   */
  boolean holdsAnswer() {
    return !answerTooLong;
  }

  void answered() {
    settle(
        answerTooLong
            ? new ClaimSettlement.AnsweredNotHeld()
            : new ClaimSettlement.Answered(new HeldAnswer(status, headers, body.toByteArray())));
  }

  void failed(Outcome outcome) {
    settle(
        outcome == Outcome.NOT_RUN ? new ClaimSettlement.NotRun() : new ClaimSettlement.Unknown());
  }

  private void settle(ClaimSettlement settlement) {
    if (!settled) {
      settled = true;
      claims.settle(token, settlement);
    }
  }
}
