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
 * Decoder of requests that takes no form which another recipient might read differently.
 *
 * <p>RFC 9112: no Content-Length beside Transfer-Encoding (section 6.1), no line folding (section
 * 5.2), no bare line feeds (section 2.2).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private final Runnable headBegan;
  private boolean inHead = true;
  private boolean headSeen;
  private boolean lineEnded;
  private boolean folded;

  /**
   * Creates a decoder.
   *
   * @param maxLineBytes longest request line
   * @param maxHeadBytes greatest size of a request's headers
   * @param headBegan called when the first bytes of a head came without its end
   */
  StrictRequestDecoder(int maxLineBytes, int maxHeadBytes, Runnable headBegan) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxLineBytes)
            .setMaxHeaderSize(maxHeadBytes)
            .setAllowDuplicateContentLengths(false)
            .setStrictLineParsing(true)
            .setUseRfc9112TransferEncoding(true));
    this.headBegan = headBegan;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    int start = buffer.readerIndex();
    int before = out.size();
    boolean began = inHead && buffer.isReadable();
    super.decode(context, buffer, out);
    if (began) {
      findFolding(buffer, start);
    }
    for (int i = before; i < out.size(); i++) {
      follow(out.get(i));
    }
    if (began && inHead && !headSeen && out.size() == before) {
      headSeen = true;
      headBegan.run();
    }
  }

  private void findFolding(ByteBuf buffer, int start) {
    for (int i = start; i < buffer.readerIndex(); i++) {
      byte current = buffer.getByte(i);
      folded = folded || (lineEnded && (current == ' ' || current == '\t'));
      lineEnded = current == '\n';
    }
  }

  private void follow(Object message) {
    if (message instanceof HttpRequest request) {
      inHead = false;
      headSeen = false;
      lineEnded = false;
      if (folded && request.decoderResult().isSuccess()) {
        request.setDecoderResult(
            DecoderResult.failure(new IllegalArgumentException("folded header line")));
      }
    }
    if (message instanceof LastHttpContent) {
      inHead = true;
    }
  }
}
