package org.wagtailpin.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the answer of a call and writes it to the caller.
 *
 * <p>Used on the event loop of the call. A call ends with exactly one of {@link #end}, {@link
 * #problem} and {@link #reset}, unless the caller has disconnected.
 */
public interface AnswerSink {

  /**
   * Begins the answer.
   *
   * @param status the HTTP status code
   * @param headers the end-to-end headers; the sink takes ownership and may change them
   */
  void head(int status, HttpHeaders headers);

  /**
   * Writes a part of the body.
   *
   * @param part the bytes, released by the sink
   * @return whether the sink accepts more now; if not, {@link Call#callerWritable()} is called when
   *     it does
   */
  boolean part(ByteBuf part);

  /**
   * Completes the answer.
   *
   * @param trailers the trailer fields, empty if there are none
   */
  void end(HttpHeaders trailers);

  /**
   * Answers with a problem. Called only if no other answer has begun.
   *
   * @param problem the problem
   */
  void problem(Problem problem);

  /** Aborts an answer that has begun, in a way the caller cannot mistake for its regular end. */
  void reset();
}
