package org.wagtailpin.eventlog;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Something that an entry decided or came to believe. Filled by one thread before it is handed to
 * the log, and not changed afterwards.
 */
public final class Event {

  private final EventKind kind;
  private final Optional<String> request;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  private Event(EventKind kind, Optional<String> request) {
    this.kind = kind;
    this.request = request;
  }

  /** Creates an event of a request. */
  public static Event of(EventKind kind, String request) {
    return new Event(kind, Optional.of(request));
  }

  /** Creates an event that belongs to no request. */
  public static Event of(EventKind kind) {
    return new Event(kind, Optional.empty());
  }

  /**
   * Adds a field.
   *
   * @param field one of the kind's fields
   * @param value a text, a number or a truth value
   * @return this event
   * @throws IllegalArgumentException if the kind has no such field
   */
  public Event with(String field, Object value) {
    if (!kind.fields().contains(field)) {
      throw new IllegalArgumentException(kind.label() + " has no field " + field);
    }
    fields.put(field, value);
    return this;
  }

  /** Returns the kind. */
  public EventKind kind() {
    return kind;
  }

  /** Returns the identifier of the request, as its caller sent it. */
  public Optional<String> request() {
    return request;
  }

  Map<String, Object> fields() {
    return fields;
  }

  /** Returns the value of a field. */
  public Optional<Object> value(String field) {
    return Optional.ofNullable(fields.get(field));
  }
}
