package org.wagtailpin.eventlog;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A decision or a state change of an entry, with its fields. Not thread-safe: one thread sets the
 * fields before it passes the event to the log, and no field may be set afterwards.
 */
public final class Event {

  private final EventKind kind;
  private final Optional<String> request;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  private Event(EventKind kind, Optional<String> request) {
    this.kind = kind;
    this.request = request;
  }

  /** Creates an event of a request, without fields. */
  public static Event of(EventKind kind, String request) {
    return new Event(kind, Optional.of(request));
  }

  /** Creates an event that does not belong to a request, without fields. */
  public static Event of(EventKind kind) {
    return new Event(kind, Optional.empty());
  }

  /**
   * Sets a field and replaces an earlier value. Fields are written in the order in which they were
   * first set.
   *
   * @param field one of {@link EventKind#fields()} of the event's kind
   * @param value a string, number or boolean; anything else is written as its string form
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

  /** Returns the kind, which defines the allowed fields. */
  public EventKind kind() {
    return kind;
  }

  /** Returns the request's identifier as sent by the caller; empty if there is no request. */
  public Optional<String> request() {
    return request;
  }

  Map<String, Object> fields() {
    return fields;
  }

  /** Returns the value of a field, or empty if it is not set. */
  public Optional<Object> value(String field) {
    return Optional.ofNullable(fields.get(field));
  }
}
