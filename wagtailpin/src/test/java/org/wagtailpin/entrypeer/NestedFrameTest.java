package org.wagtailpin.entrypeer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import org.junit.jupiter.api.Test;
import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.json.SmallStack;

/** Guards against frames of other entries that overflow the stack of the thread that reads them. */
class NestedFrameTest {

  private static final int MAX_FRAME_BYTES = 1 << 20;

  private static boolean refuses(byte[] message) {
    EmbeddedChannel channel =
        new EmbeddedChannel(new PeerFrameDecoder(MAX_FRAME_BYTES, new PeerTraffic()));
    ByteBuf frame = Unpooled.buffer();
    NestedGroups.writeVarint(message.length, frame);
    frame.writeBytes(message);
    try {
      channel.writeInbound(frame);
      PeerFrame read = channel.readInbound();
      assertThat(read.getUnknownFields().asMap()).hasSize(1);
      return false;
    } catch (DecoderException e) {
      return true;
    } finally {
      channel.finishAndReleaseAll();
    }
  }

  @Test
  void aFrameThatIsNestedTooDeeplyIsRefusedOnASmallStack() {
    for (int levels : NestedGroups.TOO_MANY_LEVELS) {
      assertWithMessage("%s levels", levels)
          .that(SmallStack.call(() -> refuses(NestedGroups.whole(levels))))
          .isTrue();
      assertWithMessage("%s levels, cut off", levels)
          .that(SmallStack.call(() -> refuses(NestedGroups.cutOff(levels))))
          .isTrue();
    }
    assertThat(SmallStack.call(() -> refuses(NestedGroups.whole(50)))).isFalse();
  }
}
