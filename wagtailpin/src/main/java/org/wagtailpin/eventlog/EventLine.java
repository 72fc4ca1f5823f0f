package org.wagtailpin.eventlog;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

/**
 * Formats an event as one line of JSON: time, event, entry, request and the event's fields. Long
 * texts, which come from outside the process, are cut off.
 */
final class EventLine {

  private static final int MAX_TEXT_CHARS = 2_000;

  private static final JsonFactory JSON = new JsonFactory();

  private EventLine() {}

  static String format(Event event, long wallMillis, String entry) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeNumberField("time", wallMillis);
      json.writeStringField("event", event.kind().label());
      json.writeStringField("entry", entry);
      if (event.request().isPresent()) {
        json.writeStringField("request", shortened(event.request().get()));
      }
      for (Map.Entry<String, Object> field : event.fields().entrySet()) {
        json.writeFieldName(field.getKey());
        writeValue(json, field.getValue());
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }

  private static void writeValue(JsonGenerator json, Object value) throws IOException {
    if (value instanceof Integer || value instanceof Long) {
      json.writeNumber(((Number) value).longValue());
    } else if (value instanceof Double number) {
      // Values are milliseconds; 0.1 microseconds is the resolution of the clock.
      json.writeNumber(Math.round(number * 10_000) / 10_000.0);
    } else if (value instanceof Boolean flag) {
      json.writeBoolean(flag);
    } else {
      json.writeString(shortened(String.valueOf(value)));
    }
  }

  private static String shortened(String text) {
    return text.length() > MAX_TEXT_CHARS ? text.substring(0, MAX_TEXT_CHARS) + "..." : text;
  }
}
