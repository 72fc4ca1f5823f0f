package org.wagtailpin.json;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Reads the members of one JSON object.
 *
 * <p>Each accessor takes a key. If a required member is missing, or if a member is invalid, the
 * accessor adds a problem with its position and returns a placeholder, so that one pass finds all
 * problems. {@link #endObject} adds a problem for each key that no accessor requested. The values
 * read are valid only if no problem was added. With {@link ValueChecks#TYPES} the limits on names,
 * lengths and ranges do not apply. Not thread-safe.
 */
public final class JsonObjectReader {

  private static final int MAX_STRING_CHARS = 1024;

  private final JsonValue.ObjectValue object;
  private final String path;
  private final JsonProblems problems;
  private final ValueChecks checks;
  private final Set<String> requestedKeys = new LinkedHashSet<>();

  /**
   * Creates a reader of an object.
   *
   * @param object the object to read
   * @param path the path of the object, empty for the outermost one
   * @param problems receives the problems found
   * @param checks the checks of this object's values and of those within it
   */
  public JsonObjectReader(
      JsonValue.ObjectValue object, String path, JsonProblems problems, ValueChecks checks) {
    this.object = object;
    this.path = path;
    this.problems = problems;
    this.checks = checks;
  }

  /** Creates a reader that checks all values, see the method with more parameters. */
  public static JsonObjectReader of(JsonValue value, String path, JsonProblems problems) {
    return of(value, path, problems, ValueChecks.ALL);
  }

  /**
   * Creates a reader of a value that must be an object. For any other value, adds one problem and
   * returns a reader of an empty object.
   *
   * @param value the value to read
   * @param path the path of the value, empty for the outermost one
   * @param problems receives the problems found
   * @param checks the checks of the object's values and of those within it
   */
  public static JsonObjectReader of(
      JsonValue value, String path, JsonProblems problems, ValueChecks checks) {
    if (value instanceof JsonValue.ObjectValue objectValue) {
      return new JsonObjectReader(objectValue, path, problems, checks);
    }
    problems.add(new JsonProblem(value.position(), path, value.describe(), "an object"));
    JsonValue.ObjectValue emptyObject = new JsonValue.ObjectValue(value.position(), Map.of());
    // Discards the problems of missing members, which would only follow from the wrong type.
    return new JsonObjectReader(emptyObject, path, new JsonProblems(), checks);
  }

  /** Returns where the object begins. */
  public JsonPosition position() {
    return object.position();
  }

  /** Returns the keys of the object in the order of the text. */
  public Set<String> keys() {
    return object.members().keySet();
  }

  /** Returns whether the object has a member with a key. */
  public boolean has(String key) {
    return object.members().containsKey(key);
  }

  /**
   * Returns whether a member is present and is a string.
   *
   * @param key the key, which does not count as requested
   */
  public boolean isString(String key) {
    return has(key) && object.members().get(key).value() instanceof JsonValue.StringValue;
  }

  /**
   * Reads a required name: 1 to 128 letters, digits, dots, hyphens and underscores, beginning with
   * a letter or digit.
   *
   * @param key the key, which must be present
   */
  public String name(String key) {
    String text = string(key);
    requireValue(!has(key) || ValueFormats.isName(text), key, ValueFormats.NAME_EXPECTED);
    return text;
  }

  /**
   * Reads an optional name.
   *
   * @param key the key, which may be missing
   */
  public Optional<String> optionalName(String key) {
    requestedKeys.add(key);
    return has(key) ? Optional.of(name(key)) : Optional.empty();
  }

  /**
   * Reads a required string of 1 to 1024 characters.
   *
   * @param key the key, which must be present
   */
  public String string(String key) {
    return required(key, "a string").map(value -> stringOf(key, value)).orElse("");
  }

  /**
   * Reads an optional string of 1 to 1024 characters.
   *
   * @param key the key, which may be missing
   */
  public Optional<String> optionalString(String key) {
    return optional(key).map(value -> stringOf(key, value));
  }

  private String stringOf(String key, JsonValue value) {
    if (value instanceof JsonValue.StringValue stringValue
        && allowed(
            !stringValue.value().isEmpty() && stringValue.value().length() <= MAX_STRING_CHARS)) {
      return stringValue.value();
    }
    addProblem(key, value, "a string of 1 to " + MAX_STRING_CHARS + " characters");
    return "";
  }

  /**
   * Reads a required integer.
   *
   * @param key the key, which must be present
   * @param min the minimum value, also returned in case of a problem
   * @param max the maximum value, inclusive
   */
  public long integer(String key, long min, long max) {
    return required(key, ValueFormats.describeRange(min, max))
        .map(value -> integerOf(key, value, min, max))
        .orElse(min);
  }

  /**
   * Reads an optional integer.
   *
   * @param key the key
   * @param min the minimum value, also returned in case of a problem
   * @param max the maximum value, inclusive
   * @param defaultValue the value if the key is missing; not checked against the range
   */
  public long integer(String key, long min, long max, long defaultValue) {
    return optional(key).map(value -> integerOf(key, value, min, max)).orElse(defaultValue);
  }

  private long integerOf(String key, JsonValue value, long min, long max) {
    Optional<Long> exact = ValueFormats.exactLong(value);
    if (exact.isPresent() && allowed(exact.get() >= min && exact.get() <= max)) {
      return exact.get();
    }
    addProblem(key, value, ValueFormats.describeRange(min, max));
    return min;
  }

  /**
   * Reads a required number.
   *
   * @param key the key, which must be present
   * @param min the minimum value, also returned in case of a problem
   * @param max the maximum value, inclusive
   */
  public double number(String key, double min, double max) {
    return required(key, ValueFormats.describeRange(min, max))
        .map(value -> numberOf(key, value, min, max))
        .orElse(min);
  }

  /**
   * Reads an optional number.
   *
   * @param key the key
   * @param min the minimum value, also returned in case of a problem
   * @param max the maximum value, inclusive
   * @param defaultValue the value if the key is missing; not checked against the range
   */
  public double number(String key, double min, double max, double defaultValue) {
    return optional(key).map(value -> numberOf(key, value, min, max)).orElse(defaultValue);
  }

  private double numberOf(String key, JsonValue value, double min, double max) {
    if (value instanceof JsonValue.NumberValue numberValue) {
      double number = numberValue.value().doubleValue();
      if (allowed(number >= min && number <= max)) {
        return number;
      }
    }
    addProblem(key, value, ValueFormats.describeRange(min, max));
    return min;
  }

  /**
   * Reads a boolean with a default.
   *
   * @param key the key
   * @param defaultValue the value if the key is missing
   */
  public boolean bool(String key, boolean defaultValue) {
    return optionalBool(key).orElse(defaultValue);
  }

  /**
   * Reads an optional boolean.
   *
   * @param key the key, which may be missing
   */
  public Optional<Boolean> optionalBool(String key) {
    return optional(key).map(value -> boolOf(key, value));
  }

  private boolean boolOf(String key, JsonValue value) {
    if (value instanceof JsonValue.BooleanValue booleanValue) {
      return booleanValue.value();
    }
    addProblem(key, value, "true or false");
    return false;
  }

  /**
   * Reads an optional string that must be one of several.
   *
   * @param key the key, which may be missing
   * @param choices the valid strings and the values that they stand for, in the order for messages
   * @return the value, or empty if the key is missing or its string is not valid
   */
  public <E> Optional<E> choice(String key, Map<String, E> choices) {
    Optional<JsonValue> value = optional(key);
    if (value.isEmpty()) {
      return Optional.empty();
    }
    if (value.get() instanceof JsonValue.StringValue stringValue
        && choices.containsKey(stringValue.value())) {
      return Optional.of(choices.get(stringValue.value()));
    }
    addProblem(key, value.get(), "one of " + String.join(", ", choices.keySet()));
    return Optional.empty();
  }

  /**
   * Reads an optional array of strings of 1 to 1024 characters.
   *
   * @param key the key; the result is empty if it is missing
   */
  public List<String> strings(String key) {
    List<String> strings = new ArrayList<>();
    for (JsonValue item : items(key)) {
      strings.add(stringOf(key, item));
    }
    return strings;
  }

  /**
   * Returns a reader for each object of an optional array.
   *
   * @param key the key; the result is empty if it is missing
   */
  public List<JsonObjectReader> objects(String key) {
    List<JsonObjectReader> readers = new ArrayList<>();
    List<JsonValue> items = items(key);
    for (int i = 0; i < items.size(); i++) {
      readers.add(of(items.get(i), pathOf(key) + "[" + i + "]", problems, checks));
    }
    return readers;
  }

  private List<JsonValue> items(String key) {
    Optional<JsonValue> value = optional(key);
    if (value.isEmpty()) {
      return List.of();
    }
    if (value.get() instanceof JsonValue.ArrayValue items) {
      return items.items();
    }
    addProblem(key, value.get(), "an array");
    return List.of();
  }

  /**
   * Returns a reader of an optional object.
   *
   * @param key the key; the result is empty if it is missing
   */
  public Optional<JsonObjectReader> object(String key) {
    return optional(key).map(value -> of(value, pathOf(key), problems, checks));
  }

  private Optional<JsonValue> required(String key, String expected) {
    Optional<JsonValue> value = optional(key);
    if (value.isEmpty()) {
      problems.add(new JsonProblem(object.position(), pathOf(key), "nothing", expected));
    }
    return value;
  }

  private Optional<JsonValue> optional(String key) {
    requestedKeys.add(key);
    return Optional.ofNullable(object.members().get(key)).map(JsonValue.Member::value);
  }

  /**
   * Adds a problem if a key is missing.
   *
   * @param key the key
   * @param expected a description of the values that would be valid
   */
  public void requireKey(String key, String expected) {
    required(key, expected);
  }

  /**
   * Adds a problem with the value of a key, or with its absence.
   *
   * @param key the key
   * @param expected a description of the values that would be valid
   */
  public void addProblem(String key, String expected) {
    JsonValue.Member member = object.members().get(key);
    if (member == null) {
      required(key, expected);
    } else {
      addProblem(key, member.value(), expected);
    }
  }

  /**
   * Adds a problem with the value of a key that is not valid, if values are checked.
   *
   * @param valid whether the value is valid
   * @param key the key
   * @param expected a description of the values that would be valid
   */
  public void requireValue(boolean valid, String key, String expected) {
    if (!allowed(valid)) {
      addProblem(key, expected);
    }
  }

  private boolean allowed(boolean valid) {
    return valid || checks == ValueChecks.TYPES;
  }

  /**
   * Adds a problem for a key that is not allowed.
   *
   * @param key the key, which must be present
   * @param expected a description of the keys that are allowed
   */
  public void addUnknownKeyProblem(String key, String expected) {
    requestedKeys.add(key);
    JsonPosition position = object.members().get(key).position();
    problems.add(new JsonProblem(position, pathOf(key), "an unknown key", expected));
  }

  private void addProblem(String key, JsonValue value, String expected) {
    problems.add(new JsonProblem(value.position(), pathOf(key), value.describe(), expected));
  }

  /** Finishes reading; adds a problem for each key that no accessor requested. */
  public void endObject() {
    for (String key : object.members().keySet()) {
      if (!requestedKeys.contains(key)) {
        addUnrequestedKeyProblem(key);
      }
    }
  }

  private void addUnrequestedKeyProblem(String key) {
    String expected =
        requestedKeys.isEmpty() ? "no key" : "one of " + String.join(", ", requestedKeys);
    JsonPosition position = object.members().get(key).position();
    problems.add(new JsonProblem(position, pathOf(key), "an unknown key", expected));
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
