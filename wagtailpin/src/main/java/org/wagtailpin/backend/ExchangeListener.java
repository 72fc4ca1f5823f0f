package org.wagtailpin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Told of the progress of an exchange, on the event loop of its owner.
 *
 * <p>Calls come in the order: the head, any parts, the end. A failure can come instead of any of
 * them and is the last call.
 */
public interface ExchangeListener {

  /**
   * Called with the head of the answer.
   *
   * @param head the head
   */
  void head(AnswerHead head);

  /**
   * Called with a part of the answer's body.
   *
   * @param part the bytes, to be released by the listener
   */
  void part(ByteBuf part);

  /**
   * Called when the answer is whole.
   *
   * @param trailers the trailer fields, none as a rule
   */
  void end(HttpHeaders trailers);

  /**
   * Called when no whole answer can come any more.
   *
   * @param failure what is known
   */
  void failed(ExchangeFailure failure);
}
