package org.wagtailpin.benchmark.experiment;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import java.util.List;

/** Netty codec for {@link Frame}. */
final class FrameCodec extends ByteToMessageCodec<Frame> {

  @Override
  protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
    frame.write(out);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    while (in.readableBytes() >= Frame.LENGTH_BYTES) {
      out.add(Frame.read(in));
    }
  }
}
