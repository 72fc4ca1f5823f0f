package org.wagtailpin.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * Relays an answer to the caller, either as it arrives or buffered until it is complete. With
 * buffering, the caller receives nothing of an answer that fails midway, so a retry can replace it.
 * Confined to the call's event loop.
 */
final class AnswerRelay {

  private final AnswerSink sink;
  private final boolean buffers;
  private final long maxBufferedBytes;
  private Optional<BufferedAnswer> buffered = Optional.empty();
  private boolean began;

  /**
   * Creates a relay.
   *
   * @param sink the receiver of the answer
   * @param buffers whether answers are buffered
   * @param maxBufferedBytes the maximum number of body bytes to buffer; a longer answer is relayed
   *     as it arrives
   */
  AnswerRelay(AnswerSink sink, boolean buffers, long maxBufferedBytes) {
    this.sink = sink;
    this.buffers = buffers;
    this.maxBufferedBytes = maxBufferedBytes;
  }

  /** Returns whether part of the answer was written, so that it can no longer be replaced. */
  boolean began() {
    return began;
  }

  /** Marks the answer as begun without writing it, because the caller has disconnected. */
  void beginDiscarded() {
    began = true;
  }

  void head(int status, HttpHeaders headers) {
    if (buffers) {
      buffered = Optional.of(new BufferedAnswer(status, headers));
    } else {
      began = true;
      sink.head(status, headers);
    }
  }

  /** Relays or buffers a part of the body. Returns whether more can be accepted now. */
  boolean part(ByteBuf part) {
    if (buffered.isEmpty()) {
      return sink.part(part);
    }
    buffered.get().add(part);
    return buffered.get().bytes() <= maxBufferedBytes || flush();
  }

  /** Writes the buffered answer, if any. Returns whether the caller accepts more now. */
  boolean flush() {
    if (buffered.isEmpty()) {
      return true;
    }
    BufferedAnswer answer = buffered.get();
    buffered = Optional.empty();
    began = true;
    return answer.writeTo(sink);
  }

  /** Releases the buffered answer, if any, without writing it. */
  void discard() {
    buffered.ifPresent(BufferedAnswer::release);
    buffered = Optional.empty();
  }
}
