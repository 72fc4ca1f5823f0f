package org.wagtailpin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Limits the bytes that a backend server sends where no body is due: between a request and the end
 * of the head of its answer, interim answers and surplus answers included, and while no request
 * awaits an answer.
 *
 * <p>The HTTP decoder limits each line and each head, but neither their number nor what it skips.
 */
final class AnswerHeadGuard extends ChannelInboundHandlerAdapter {

  private final BackendConnectionHandler connection;
  private final int maxBytes;
  private long bytes;
  private long countedRequest;

  /**
   * Creates a guard.
   *
   * @param connection the state of the connection
   * @param maxBytes the maximum number of bytes before the head of an answer has ended
   */
  AnswerHeadGuard(BackendConnectionHandler connection, int maxBytes) {
    this.connection = connection;
    this.maxBytes = maxBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!connection.awaitsHead() || connection.requestNumber() != countedRequest) {
      // An answer that fits into one read ends without a read after its head.
      bytes = 0;
      countedRequest = connection.requestNumber();
    }
    if (connection.awaitsHead() && message instanceof ByteBuf buffer) {
      bytes += buffer.readableBytes();
    }
    if (bytes > maxBytes || connection.awaitsNothing()) {
      connection.recordRefused(message);
      ReferenceCountUtil.release(message);
      connection.rejectInput();
      ctx.fireExceptionCaught(
          new TooLongFrameException("more than " + bytes + " bytes before an answer"));
      return;
    }
    ctx.fireChannelRead(message);
  }
}
