package org.wagtailpin.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The caller of a call, as a place to write its answer to.
 *
 * <p>Used on the event loop of the call. A call ends with exactly one of {@link #end}, {@link
 * #problem} and {@link #reset}, unless the caller left.
 */
public interface AnswerSink {

  /**
   * Begins the answer.
   *
   * @param status the HTTP status code
   * @param headers the end-to-end headers, owned by the sink
   */
  void head(int status, HttpHeaders headers);

  /**
   * Writes a part of the body.
   *
   * @param part the bytes, released by the sink
   * @return whether the sink takes more now; if not, {@link Call#callerWritable()} is called later
   */
  boolean part(ByteBuf part);

  /**
   * Ends the answer as whole.
   *
   * @param trailers the trailer fields
   */
  void end(HttpHeaders trailers);

  /**
   * Answers with a problem; nothing of another answer was written.
   *
   * @param problem the problem
   */
  void problem(Problem problem);

  /** Breaks the begun answer off so that the caller notices. */
  void reset();
}
