package org.wagtailpin.store.wire;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.json.NestedText;
import org.wagtailpin.json.SmallStack;

class StoreMessagesTest {

  private static final List<String> PLACES =
      List.of(
          "%s",
          "{\"entries\":%s,\"storeRevision\":1}",
          "{\"entries\":[%s],\"storeRevision\":1}",
          "{\"entries\":[{\"key\":%s}],\"storeRevision\":1}",
          "{\"entries\":[{\"value\":%s}],\"storeRevision\":1}",
          "{\"entries\":[],\"storeRevision\":%s}",
          "{\"note\":%s,\"entries\":[],\"storeRevision\":1}");

  private final StoreMessages messages = new StoreMessages();

  @Test
  void aMessageThatIsNestedTooDeeplyIsNoneOnASmallStack() {
    for (NestedText nested : NestedText.all()) {
      for (String place : PLACES) {
        byte[] text = place.replace("%s", nested.text()).getBytes(UTF_8);

        assertWithMessage("%s in %s", nested.description(), place)
            .that(SmallStack.call(() -> messages.read(ListMessage.class, text)).isEmpty())
            .isTrue();
      }
    }
  }
}
