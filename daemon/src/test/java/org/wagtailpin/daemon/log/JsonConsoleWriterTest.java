package org.wagtailpin.daemon.log;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;

class JsonConsoleWriterTest {

  @Test
  void aMessageWithQuotesAndLineBreaksStaysOneJsonLine() throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    JsonConsoleWriter writer = new JsonConsoleWriter(new PrintStream(bytes, true, UTF_8));

    writer.write(
        new LogEntry(
            RuntimeProvider.createTimestamp(),
            Thread.currentThread(),
            null,
            "a.Class",
            null,
            null,
            0,
            null,
            Level.WARN,
            "a \"quoted\"\nmessage",
            new IllegalStateException("cause")));

    String text = bytes.toString(UTF_8);
    assertThat(text.lines().count()).isEqualTo(1);
    JsonNode line = new ObjectMapper().readTree(text);
    assertThat(line.get("message").asText()).isEqualTo("a \"quoted\"\nmessage");
    assertThat(line.get("level").asText()).isEqualTo("warn");
    assertThat(line.get("exception").asText()).contains("cause");
  }
}
