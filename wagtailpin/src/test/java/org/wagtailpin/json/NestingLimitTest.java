package org.wagtailpin.json;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Guards against a limit of nesting that only larger stacks than those of an entry bear, and
 * against a reader without a limit.
 */
class NestingLimitTest {

  private static void assertReadsUpToTheLimitOnly(Predicate<byte[]> reader) {
    for (NestedText nested : NestedText.all()) {
      assertWithMessage(nested.description())
          .that(SmallStack.call(() -> reader.test(nested.bytes())))
          .isEqualTo(nested.whole() && nested.levels() <= JsonLimits.MAX_DEPTH);
    }
  }

  @Test
  void theTreeReaderReadsNestingUpToTheLimitOnASmallStack() {
    assertReadsUpToTheLimitOnly(
        text -> {
          try {
            JsonTree.read(text);
            return true;
          } catch (IOException e) {
            return false;
          }
        });
  }

  @Test
  void theParserOfTextsWithCommentsReadsNestingUpToTheLimitOnASmallStack() {
    JsonTextParser parser = new JsonTextParser();

    assertReadsUpToTheLimitOnly(
        text -> parser.parse("text", text) instanceof JsonParseResult.Parsed);
  }
}
