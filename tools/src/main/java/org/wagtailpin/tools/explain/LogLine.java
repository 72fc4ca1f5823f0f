package org.wagtailpin.tools.explain;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An event as a log tells it.
 *
 * @param timeMillis when, by the entry's wall clock, in milliseconds since 1970-01-01T00:00:00Z
 * @param event the name of the event
 * @param entry the entry, empty if the line does not tell
 * @param request the request's identifier, empty if the event belongs to none
 * @param fields the whole line
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
