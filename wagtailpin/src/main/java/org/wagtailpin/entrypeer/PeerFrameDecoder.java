package org.wagtailpin.entrypeer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * Decodes a byte stream into frames, each with its length as a varint prefix.
 *
 * <p>A length above the maximum, a malformed length and bytes that are not a protobuf message throw
 * an exception.
 */
final class PeerFrameDecoder extends ByteToMessageDecoder {

  private static final int MAX_VARINT_BYTES = 5;
  private static final int PAYLOAD_BITS = 7;
  private static final int PAYLOAD_MASK = 0x7f;
  private static final int CONTINUATION_BIT = 0x80;

  private final int maxFrameBytes;
  private final PeerTraffic traffic;

  PeerFrameDecoder(int maxFrameBytes, PeerTraffic traffic) {
    this.maxFrameBytes = maxFrameBytes;
    this.traffic = traffic;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws InvalidProtocolBufferException {
    in.markReaderIndex();
    long length = readLength(in);
    if (length > maxFrameBytes) {
      in.skipBytes(in.readableBytes());
      throw new TooLongFrameException(
          "frame of " + length + " bytes exceeds the maximum of " + maxFrameBytes);
    }
    if (length < 0 || in.readableBytes() < length) {
      in.resetReaderIndex();
      return;
    }
    byte[] bytes = ByteBufUtil.getBytes(in, in.readerIndex(), (int) length);
    in.skipBytes((int) length);
    traffic.recordReceived(length);
    out.add(PeerFrame.parseFrom(bytes));
  }

  /** Returns the length of the next frame in bytes, or -1 if the prefix is still incomplete. */
  private static long readLength(ByteBuf in) {
    long length = 0;
    for (int i = 0; i < MAX_VARINT_BYTES; i++) {
      if (!in.isReadable()) {
        return -1;
      }
      int nextByte = in.readByte();
      length |= (long) (nextByte & PAYLOAD_MASK) << (PAYLOAD_BITS * i);
      if ((nextByte & CONTINUATION_BIT) == 0) {
        return length;
      }
    }
    throw new CorruptedFrameException("length prefix of more than " + MAX_VARINT_BYTES + " bytes");
  }
}
