package org.wagtailpin.entrypeer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.util.function.Supplier;

/** Sets up the codec of a connection between entries. */
final class PeerChannelInitializer extends ChannelInitializer<Channel> {

  private final int maxFrameBytes;
  private final Supplier<ChannelHandler> last;

  PeerChannelInitializer(int maxFrameBytes, Supplier<ChannelHandler> last) {
    this.maxFrameBytes = maxFrameBytes;
    this.last = last;
  }

  @Override
  protected void initChannel(Channel channel) {
    channel
        .pipeline()
        .addLast(new PeerFrameDecoder(maxFrameBytes))
        .addLast(new PeerFrameEncoder())
        .addLast(last.get());
  }
}
