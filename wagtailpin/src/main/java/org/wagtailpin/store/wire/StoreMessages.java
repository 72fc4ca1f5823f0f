package org.wagtailpin.store.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/** JSON codec for the bodies of store requests and responses. Thread-safe. */
public final class StoreMessages {

  private final ObjectMapper mapper = new ObjectMapper();

  /**
   * Encodes a message.
   *
   * @param message one of the message records of this package
   * @return the JSON text in UTF-8
   * @throws IllegalArgumentException if the record cannot be encoded as JSON
   */
  public byte[] write(Record message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be encoded as JSON: " + message.getClass(), e);
    }
  }

  /**
   * Decodes a message.
   *
   * @param type the record type of the message
   * @param json the JSON text in UTF-8
   * @return the message, or empty if the text is not valid JSON of this type
   */
  public <T extends Record> Optional<T> read(Class<T> type, byte[] json) {
    try {
      return Optional.ofNullable(mapper.readValue(json, type));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
