package org.wagtailpin.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/**
 * Serializes the content of pages to JSON. The class is loaded with the first page that needs it,
 * so that the object mappers do not slow down the start of the entry.
 */
final class PageJson {

  private static final ObjectMapper COMPACT = new ObjectMapper().registerModule(new Jdk8Module());
  private static final ObjectMapper INDENTED =
      new ObjectMapper()
          .registerModule(new Jdk8Module())
          .enable(SerializationFeature.INDENT_OUTPUT);

  private PageJson() {}

  static AdminAnswer compact(Object content) {
    return answer(COMPACT, content);
  }

  static AdminAnswer indented(Object content) {
    return answer(INDENTED, content);
  }

  private static AdminAnswer answer(ObjectMapper mapper, Object content) {
    try {
      return AdminAnswer.json(mapper.writeValueAsBytes(content));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a page has no JSON form", e);
    }
  }
}
