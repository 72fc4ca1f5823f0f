package org.wagtailpin.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;

/**
 * Answer of a backend server that is buffered before it is written to the caller. Owns the buffers
 * of its parts until they are written or released. Confined to the call's event loop.
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

  /** Writes the buffered head and parts. Returns whether the sink accepts more now. */
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
