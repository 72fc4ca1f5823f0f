package org.wagtailpin.entrypeer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import org.tinylog.Logger;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/** Receives requests on a connection that another entry opened, and sends the answers. */
final class PeerServerHandler extends SimpleChannelInboundHandler<PeerFrame> {

  private final RequestDispatcher dispatcher;
  private final ChannelGroup acceptedChannels;

  PeerServerHandler(RequestDispatcher dispatcher, ChannelGroup acceptedChannels) {
    this.dispatcher = dispatcher;
    this.acceptedChannels = acceptedChannels;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    acceptedChannels.add(context.channel());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    Channel channel = context.channel();
    dispatcher.dispatch(frame, answer -> write(channel, answer));
  }

  private static void write(Channel channel, PeerFrame answer) {
    // Answers to a peer that does not read them are dropped, to bound this entry's memory use.
    if (channel.isWritable()) {
      var unused = channel.writeAndFlush(answer);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Logger.warn("closing connection from another entry after error: {}", cause.getMessage());
    var unused = context.close();
  }
}
