package org.wagtailpin.entrypeer;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/** Encodes frames, each with its length as a varint prefix. */
final class PeerFrameEncoder extends MessageToByteEncoder<PeerFrame> {

  private final PeerTraffic traffic;

  PeerFrameEncoder(PeerTraffic traffic) {
    this.traffic = traffic;
  }

  @Override
  protected ByteBuf allocateBuffer(
      ChannelHandlerContext context, PeerFrame frame, boolean preferDirect) {
    int bytes = frame.getSerializedSize();
    return context.alloc().ioBuffer(bytes + CodedOutputStream.computeUInt32SizeNoTag(bytes));
  }

  @Override
  protected void encode(ChannelHandlerContext context, PeerFrame frame, ByteBuf out)
      throws IOException {
    try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
      frame.writeDelimitedTo(stream);
      traffic.recordSent(stream.writtenBytes());
    }
  }
}
