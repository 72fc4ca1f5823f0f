package org.wagtailpin.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Response encoder that omits the content of answers to HEAD requests. */
final class AnswerEncoder extends HttpResponseEncoder {

  private boolean answersHead;

  /** Sets whether the following answers are to HEAD requests. Called on the event loop. */
  void setAnswersHead(boolean head) {
    answersHead = head;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse answer) {
    // RFC 9110 section 9.3.2: an answer to HEAD never has content, even if it has a Content-Length.
    return answersHead || super.isContentAlwaysEmpty(answer);
  }
}
