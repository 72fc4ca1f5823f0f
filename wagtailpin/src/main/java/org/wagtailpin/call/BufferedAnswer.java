package org.wagtailpin.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;

/**
 * An answer that is kept until it is whole, so that the caller sees nothing of one that breaks off.
 * Confined to the call's event loop.
 */
final class BufferedAnswer {

  private final int status;
  private final HttpHeaders headers;
  private final List<ByteBuf> parts = new ArrayList<>();
  private long bytes;

  BufferedAnswer(int status, HttpHeaders headers) {
    this.status = status;
    this.headers = headers;
  }

  void add(ByteBuf part) {
    parts.add(part);
    bytes += part.readableBytes();
  }

  long bytes() {
    return bytes;
  }

  /** Hands over what was collected; tells whether the sink takes more at once. */
  boolean writeTo(AnswerSink sink) {
    sink.head(status, headers);
    boolean acceptsMore = true;
    for (ByteBuf part : parts) {
      acceptsMore = sink.part(part);
    }
    parts.clear();
    return acceptsMore;
  }

  void release() {
    parts.forEach(ByteBuf::release);
    parts.clear();
  }
}
