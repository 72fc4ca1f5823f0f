package org.wagtailpin.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * HTTP request decoder that rejects ambiguous messages, which other recipients might parse
 * differently. This prevents request smuggling.
 *
 * <p>Rejected, with sections of RFC 9112: Content-Length together with Transfer-Encoding (6.1),
 * line folding (5.2) and bare line feeds (2.2). The decoder result of such a message is a failure.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private final Runnable onPartialHead;
  private boolean inHead = true;
  private boolean partialHeadReported;
  private boolean afterLineFeed;
  private boolean foldedLineSeen;

  /**
   * Creates a decoder.
   *
   * @param maxLineBytes maximum length of a request line
   * @param maxHeadBytes maximum size of a request's headers
   * @param onPartialHead called once per request if the start of its head arrives without the end
   */
  StrictRequestDecoder(int maxLineBytes, int maxHeadBytes, Runnable onPartialHead) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxLineBytes)
            .setMaxHeaderSize(maxHeadBytes)
            .setAllowDuplicateContentLengths(false)
            .setStrictLineParsing(true)
            .setUseRfc9112TransferEncoding(true));
    this.onPartialHead = onPartialHead;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    int start = buffer.readerIndex();
    int before = out.size();
    boolean decodingHead = inHead && buffer.isReadable();
    super.decode(context, buffer, out);
    if (decodingHead) {
      detectFolding(buffer, start);
    }
    for (int i = before; i < out.size(); i++) {
      updateState(out.get(i));
    }
    if (decodingHead && inHead && !partialHeadReported && out.size() == before) {
      partialHeadReported = true;
      onPartialHead.run();
    }
  }

  private void detectFolding(ByteBuf buffer, int start) {
    for (int i = start; i < buffer.readerIndex(); i++) {
      byte current = buffer.getByte(i);
      foldedLineSeen = foldedLineSeen || (afterLineFeed && (current == ' ' || current == '\t'));
      afterLineFeed = current == '\n';
    }
  }

  private void updateState(Object message) {
    if (message instanceof HttpRequest request) {
      inHead = false;
      partialHeadReported = false;
      afterLineFeed = false;
      if (foldedLineSeen && request.decoderResult().isSuccess()) {
        request.setDecoderResult(
            DecoderResult.failure(new IllegalArgumentException("folded header line")));
      }
    }
    if (message instanceof LastHttpContent) {
      inHead = true;
    }
  }
}
