package org.wagtailpin.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/** JSON form of pages. Loaded with the first page that needs it, as a start has no use for it. */
final class PageJson {

  private static final ObjectMapper COMPACT = new ObjectMapper();
  private static final ObjectMapper INDENTED =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

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
