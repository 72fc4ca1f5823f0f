package org.wagtailpin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the answer of an exchange, on the event loop of its owner.
 *
 * <p>The methods are called in this order: {@link #head} once, {@link #part} any number of times,
 * {@link #end} once. {@link #failed} can replace any of these calls and is then the last one.
 */
public interface ExchangeListener {

  /**
   * Called with the head of the answer.
   *
   * @param head the status, headers and load report
   */
  void head(AnswerHead head);

  /**
   * Called with a part of the answer's body.
   *
   * @param part the bytes, to be released by the listener
   */
  void part(ByteBuf part);

  /**
   * Called when the answer is complete.
   *
   * @param trailers the trailer fields, usually empty
   */
  void end(HttpHeaders trailers);

  /**
   * Called when the exchange has failed before the answer was complete.
   *
   * @param failure the cause, and whether the request may have been run
   */
  void failed(ExchangeFailure failure);
}
