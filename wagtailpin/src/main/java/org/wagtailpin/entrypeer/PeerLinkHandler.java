package org.wagtailpin.entrypeer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.OptionalLong;
import org.tinylog.Logger;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/** Receives answers on a connection that this entry opened. */
final class PeerLinkHandler extends SimpleChannelInboundHandler<PeerFrame> {

  private final PeerLink link;
  private OptionalLong incarnation = OptionalLong.empty();

  PeerLinkHandler(PeerLink link) {
    this.link = link;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    if (!frame.getIsAnswer()) {
      return;
    }
    if (incarnation.isEmpty()) {
      incarnation = OptionalLong.of(frame.getIncarnation());
    }
    // A connection belongs to one process, so an answer with another incarnation is invalid.
    if (incarnation.getAsLong() == frame.getIncarnation()) {
      link.onAnswer(frame);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    link.onChannelClosed(context.channel());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Logger.warn("closing connection to another entry after error: {}", cause.getMessage());
    var unused = context.close();
  }
}
