package org.wagtailpin.tools.explain;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An event of a log.
 *
 * @param timeMillis the time of the entry's wall clock, in milliseconds since 1970-01-01T00:00:00Z
 * @param event the name of the event
 * @param entry the identifier of the entry, empty if the line has none
 * @param request the request's identifier, empty if the event belongs to none
 * @param fields all fields of the line
 */
record LogLine(long timeMillis, String event, String entry, String request, JsonNode fields) {

  String text(String field) {
    return fields.path(field).asText();
  }

  boolean isEvent(String... events) {
    for (String candidate : events) {
      if (event.equals(candidate)) {
        return true;
      }
    }
    return false;
  }
}
