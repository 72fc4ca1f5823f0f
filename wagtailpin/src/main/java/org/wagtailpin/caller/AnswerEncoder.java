package org.wagtailpin.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encoder of answers that knows which of them answer a HEAD request. */
final class AnswerEncoder extends HttpResponseEncoder {

  private boolean answersHead;

  /** Tells whether the answers from now on are to HEAD requests; on the event loop. */
  void setAnswersHead(boolean head) {
    answersHead = head;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse answer) {
    // RFC 9110 section 9.3.2: an answer to HEAD never has content, whatever its headers say.
    return answersHead || super.isContentAlwaysEmpty(answer);
  }
}
