package org.wagtailpin.entrypeer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.List;

/** Protobuf messages with an unknown field that consists of nested groups. */
public final class NestedGroups {

  /** Depths that no reader accepts. */
  public static final List<Integer> TOO_MANY_LEVELS = List.of(101, 1_000, 5_000, 200_000);

  private static final int START_GROUP = (999 << 3) | 3;
  private static final int END_GROUP = (999 << 3) | 4;
  private static final int VARINT_PAYLOAD = 0x7f;
  private static final int VARINT_CONTINUATION = 0x80;
  private static final int VARINT_BITS = 7;

  private NestedGroups() {}

  /** Returns a message in which all groups end. */
  public static byte[] whole(int levels) {
    return bytes(levels, levels);
  }

  /** Returns a message that breaks off after its innermost group has begun. */
  public static byte[] cutOff(int levels) {
    return bytes(levels, 0);
  }

  private static byte[] bytes(int starts, int ends) {
    ByteBuf message = Unpooled.buffer();
    for (int i = 0; i < starts; i++) {
      writeVarint(START_GROUP, message);
    }
    for (int i = 0; i < ends; i++) {
      writeVarint(END_GROUP, message);
    }
    return ByteBufUtil.getBytes(message);
  }

  static void writeVarint(int number, ByteBuf out) {
    int rest = number;
    while (rest > VARINT_PAYLOAD) {
      out.writeByte((rest & VARINT_PAYLOAD) | VARINT_CONTINUATION);
      rest >>>= VARINT_BITS;
    }
    out.writeByte(rest);
  }
}
