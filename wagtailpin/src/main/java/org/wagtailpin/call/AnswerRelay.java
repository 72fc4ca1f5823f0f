package org.wagtailpin.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * Passes an answer on to the caller: as it comes, or collected whole first, so that the caller sees
 * nothing of one that breaks off. Confined to the call's event loop.
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
   * @param sink the caller
   * @param buffers whether answers are collected
   * @param maxBufferedBytes the length from which on an answer is passed on as it comes
   */
  AnswerRelay(AnswerSink sink, boolean buffers, long maxBufferedBytes) {
    this.sink = sink;
    this.buffers = buffers;
    this.maxBufferedBytes = maxBufferedBytes;
  }

  /** Tells whether the caller has seen something of the answer, so that no other can be given. */
  boolean began() {
    return began;
  }

  /** Begins an answer that no caller hears any more. */
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

  /** Takes a part; tells whether the caller takes more at once. */
  boolean part(ByteBuf part) {
    if (buffered.isEmpty()) {
      return sink.part(part);
    }
    buffered.get().add(part);
    return buffered.get().bytes() <= maxBufferedBytes || flush();
  }

  /** Passes on what was collected; tells whether the caller takes more at once. */
  boolean flush() {
    if (buffered.isEmpty()) {
      return true;
    }
    BufferedAnswer answer = buffered.get();
    buffered = Optional.empty();
    began = true;
    return answer.writeTo(sink);
  }

  /** Lets go what was collected. */
  void discard() {
    buffered.ifPresent(BufferedAnswer::release);
    buffered = Optional.empty();
  }
}
