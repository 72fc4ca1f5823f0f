package org.wagtailpin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the answers of a backend server, and tells the connection whether bytes follow an answer
 * that has ended.
 */
final class AnswerDecoder extends HttpResponseDecoder {

  private final BackendConnectionHandler connection;

  /**
   * Creates a decoder.
   *
   * @param connection knows what the connection awaits
   * @param settings the size limits of a status line and a head
   */
  AnswerDecoder(BackendConnectionHandler connection, BackendSettings settings) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(settings.maxStatusLineBytes())
            .setMaxHeaderSize(settings.maxHeadBytes()));
    this.connection = connection;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage answer) {
    return super.isContentAlwaysEmpty(answer) || connection.awaitsAnswerToHead();
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    super.decode(context, buffer, out);
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      connection.setBytesFollowAnswer(buffer.isReadable());
    }
  }
}
