package org.wagtailpin.json;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTreeTest {

  @Test
  void readsTheSameTreeAsAnObjectMapper() throws IOException {
    byte[] text =
        ("{\"a\":[1,-2.5,9007199254740993,123456789012345678901234567890],"
                + "\"b\":{\"c\":[true,false,null,\"é\\n\"]},\"d\":{}}")
            .getBytes(UTF_8);

    assertThat(JsonTree.read(text)).isEqualTo(new ObjectMapper().readTree(text));
  }

  @ParameterizedTest
  @ValueSource(strings = {"{\"a\":1", "[1,]", "{} {}", "nope", "{\"a\" 1}"})
  void refusesTextThatIsNotOneValue(String text) {
    assertThrows(IOException.class, () -> JsonTree.read(text.getBytes(UTF_8)));
  }

  @Test
  void refusesNestingThatWouldOverflowTheStack() {
    byte[] text = "[".repeat(100_000).getBytes(UTF_8);

    assertThrows(IOException.class, () -> JsonTree.read(text));
  }
}
