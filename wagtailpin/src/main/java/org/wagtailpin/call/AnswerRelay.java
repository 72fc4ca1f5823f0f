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
  private final boolean collects;
  private final long mostCollectedBytes;
  private Optional<CollectedAnswer> collected = Optional.empty();
  private boolean began;

  /**
   * Creates a relay.
   *
   * @param sink the caller
   * @param collects whether answers are collected
   * @param mostCollectedBytes the length from which on an answer is passed on as it comes
   */
  AnswerRelay(AnswerSink sink, boolean collects, long mostCollectedBytes) {
    this.sink = sink;
    this.collects = collects;
    this.mostCollectedBytes = mostCollectedBytes;
  }

  /** Tells whether the caller has seen something of the answer, so that no other can be given. */
  boolean began() {
    return began;
  }

  /** Begins an answer that no caller hears any more. */
  void beginUnheard() {
    began = true;
  }

  void head(int status, HttpHeaders headers) {
    if (collects) {
      collected = Optional.of(new CollectedAnswer(status, headers));
    } else {
      began = true;
      sink.head(status, headers);
    }
  }

  /** Takes a part; tells whether the caller takes more at once. */
  boolean part(ByteBuf part) {
    if (collected.isEmpty()) {
      return sink.part(part);
    }
    collected.get().add(part);
    return collected.get().bytes() <= mostCollectedBytes || pass();
  }

  /** Passes on what was collected; tells whether the caller takes more at once. */
  boolean pass() {
    if (collected.isEmpty()) {
      return true;
    }
    CollectedAnswer answer = collected.get();
    collected = Optional.empty();
    began = true;
    return answer.passTo(sink);
  }

  /** Lets go what was collected. */
  void drop() {
    collected.ifPresent(CollectedAnswer::release);
    collected = Optional.empty();
  }
}
