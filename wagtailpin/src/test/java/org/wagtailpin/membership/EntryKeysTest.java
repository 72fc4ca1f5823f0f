package org.wagtailpin.membership;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.entrypeer.NestedGroups;
import org.wagtailpin.json.SmallStack;
import org.wagtailpin.store.StoreEntry;

class EntryKeysTest {

  @Test
  void aRecordThatIsNestedTooDeeplyIsNoneOnASmallStack() {
    for (int levels : NestedGroups.TOO_MANY_LEVELS) {
      for (byte[] value : new byte[][] {NestedGroups.whole(levels), NestedGroups.cutOff(levels)}) {
        StoreEntry entry = new StoreEntry(EntryKeys.leaseKey("e"), value, 1, Optional.empty());

        assertWithMessage("%s levels, %s bytes", levels, value.length)
            .that(SmallStack.call(() -> EntryKeys.decode(entry)).isEmpty())
            .isTrue();
      }
    }
  }
}
