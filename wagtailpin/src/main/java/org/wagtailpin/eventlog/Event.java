package org.wagtailpin.eventlog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Something that an entry decided or came to believe. Filled by one thread before it is handed to
 * the log, and not changed afterwards.
 */
public final class Event {

  private final EventKind kind;
  private final Optional<String> request;
  private final List<Object> namesAndValues = new ArrayList<>();

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
    namesAndValues.add(field);
    namesAndValues.add(value);
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

  void forEach(BiConsumer<String, Object> taker) {
    for (int i = 0; i < namesAndValues.size(); i += 2) {
      taker.accept((String) namesAndValues.get(i), namesAndValues.get(i + 1));
    }
  }

  /** Returns the value of a field. */
  public Optional<Object> value(String field) {
    int at = namesAndValues.indexOf(field);
    return at < 0 ? Optional.empty() : Optional.of(namesAndValues.get(at + 1));
  }
}
