package org.wagtailpin.tools.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads event logs line by line. Text before the first brace of a line is skipped. */
final class LogReader {

  private static final int MAX_LINE_CHARS = 65_536;

  private final ObjectMapper json = new ObjectMapper();
  private long unreadableLines;

  /** Returns how many lines were not a JSON object or were too long. */
  long unreadableLines() {
    return unreadableLines;
  }

  /**
   * Reads a log to its end.
   *
   * @param log the log
   * @param consumer receives the events; JSON objects that are not events are skipped
   * @throws IOException if the log cannot be read
   */
  void read(BufferedReader log, Consumer<LogLine> consumer) throws IOException {
    StringBuilder line = new StringBuilder();
    boolean tooLong = false;
    for (int c = log.read(); c >= 0; c = log.read()) {
      if (c == '\n') {
        parseLine(line.toString(), tooLong, consumer);
        line.setLength(0);
        tooLong = false;
      } else if (line.length() < MAX_LINE_CHARS) {
        line.append((char) c);
      } else {
        tooLong = true;
      }
    }
    if (line.length() > 0) {
      parseLine(line.toString(), tooLong, consumer);
    }
  }

  private void parseLine(String text, boolean tooLong, Consumer<LogLine> consumer) {
    if (text.isBlank()) {
      return;
    }
    Optional<JsonNode> read = tooLong ? Optional.empty() : parseObject(text);
    if (read.isEmpty()) {
      unreadableLines++;
      return;
    }
    JsonNode fields = read.get();
    if (fields.path("event").isTextual() && fields.path("time").isNumber()) {
      consumer.accept(
          new LogLine(
              fields.path("time").asLong(),
              fields.path("event").asText(),
              fields.path("entry").asText(),
              fields.path("request").asText(),
              fields));
    }
  }

  private Optional<JsonNode> parseObject(String text) {
    int brace = text.indexOf('{');
    try {
      return brace < 0 ? Optional.empty() : Optional.of(json.readTree(text.substring(brace)));
    } catch (JsonProcessingException e) {
      // The caller counts the line: a log may be truncated in the middle of a line.
      return Optional.empty();
    }
  }
}
