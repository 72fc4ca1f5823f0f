package org.wagtailpin.claims;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.wagtailpin.entrypeer.NestedGroups;
import org.wagtailpin.json.SmallStack;

class SegmentCodecTest {

  @Test
  void aSegmentThatIsNestedTooDeeplyIsNoneOnASmallStack() {
    for (int levels : NestedGroups.TOO_MANY_LEVELS) {
      for (byte[] value : new byte[][] {NestedGroups.whole(levels), NestedGroups.cutOff(levels)}) {
        assertWithMessage("%s levels, %s bytes", levels, value.length)
            .that(SmallStack.call(() -> SegmentCodec.read(value)).isEmpty())
            .isTrue();
      }
    }
  }
}
