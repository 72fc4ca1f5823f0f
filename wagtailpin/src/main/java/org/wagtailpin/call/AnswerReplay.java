package org.wagtailpin.call;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.wagtailpin.claims.HeldAnswer;
import org.wagtailpin.claims.HeldHeader;
import org.wagtailpin.transport.HttpDialect;
import org.wagtailpin.transport.WagtailpinHeaders;

/** Answers a duplicate of a call with the answer that is held for it. */
final class AnswerReplay {

  private AnswerReplay() {}

  static void write(HeldAnswer answer, String requestId, HttpDialect dialect, AnswerSink sink) {
    HttpHeaders headers = new DefaultHttpHeaders();
    for (HeldHeader header : answer.headers()) {
      headers.add(header.name(), header.value());
    }
    headers.set(WagtailpinHeaders.REPLAYED, "true");
    headers.set(dialect.requestId(), requestId);
    sink.head(answer.status(), headers);
    if (answer.body().length > 0) {
      sink.part(Unpooled.wrappedBuffer(answer.body()));
    }
    sink.end(EmptyHttpHeaders.INSTANCE);
  }
}
