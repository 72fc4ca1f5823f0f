package org.wagtailpin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.wagtailpin.transport.ValidStatusDecoder;

/**
 * Decodes the answers of a backend server, and reports to the connection whether bytes follow an
 * answer that has ended.
 *
 * <p>A head that contains the status line of another answer is malformed: an answer broke off
 * within its head, and the next one followed on the connection.
 */
final class AnswerDecoder extends ValidStatusDecoder {

  private static final String PROTOCOL = "HTTP/";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(?: |$)");

  private final BackendConnectionHandler connection;

  /**
   * Creates a decoder.
   *
   * @param connection the state of the connection
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
  protected HttpMessage createMessage(String[] statusLine) {
    if (containsStatusLine(statusLine[2])) {
      throw new IllegalArgumentException("malformed status line");
    }
    return super.createMessage(statusLine);
  }

  private static boolean containsStatusLine(String text) {
    return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
  }

  /** Called by the decoder once a head is complete; an exception makes the answer malformed. */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage answer) {
    for (Map.Entry<String, String> header : answer.headers()) {
      if (containsStatusLine(header.getValue())) {
        throw new IllegalArgumentException("a head contains another status line");
      }
    }
    return super.isContentAlwaysEmpty(answer) || connection.answersHead(answer.headers());
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
