package org.wagtailpin.store.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/** Codec of the messages that have a JSON body. Safe for use by threads. */
public final class StoreMessages {

  private final ObjectMapper mapper = new ObjectMapper();

  /**
   * Writes a message.
   *
   * @param message the message
   * @return its JSON in UTF-8
   */
  public byte[] write(Record message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("no JSON form: " + message.getClass(), e);
    }
  }

  /**
   * Reads a message.
   *
   * @param type the type of the message
   * @param json its JSON in UTF-8
   * @return the message, or empty if the text is none
   */
  public <T extends Record> Optional<T> read(Class<T> type, byte[] json) {
    try {
      return Optional.ofNullable(mapper.readValue(json, type));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
