package org.wagtailpin.entrypeer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.util.function.Supplier;

/** Adds the frame codec and the message handler to the pipeline of a peer connection. */
final class PeerChannelInitializer extends ChannelInitializer<Channel> {

  private final int maxFrameBytes;
  private final PeerTraffic traffic;
  private final Supplier<ChannelHandler> handlerFactory;

  PeerChannelInitializer(
      int maxFrameBytes, PeerTraffic traffic, Supplier<ChannelHandler> handlerFactory) {
    this.maxFrameBytes = maxFrameBytes;
    this.traffic = traffic;
    this.handlerFactory = handlerFactory;
  }

  @Override
  protected void initChannel(Channel channel) {
    channel
        .pipeline()
        .addLast(new PeerFrameDecoder(maxFrameBytes, traffic))
        .addLast(new PeerFrameEncoder(traffic))
        .addLast(handlerFactory.get());
  }
}
