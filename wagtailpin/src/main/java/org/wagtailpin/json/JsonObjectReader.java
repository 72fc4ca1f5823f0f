package org.wagtailpin.json;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reader of the members of one JSON object.
 *
 * <p>Each accessor takes a key; a mistake is noted with its place and the accessor returns a
 * stand-in value, so that one reading finds all mistakes. {@link #endObject} notes the keys that
 * nothing asked for. The values read are valid only if no mistake was noted. For use by one thread.
 */
public final class JsonObjectReader {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
  private static final String NAME_EXPECTED =
      "a name of 1 to 128 letters, digits, dots, hyphens and underscores";
  private static final int MAX_STRING_CHARS = 1024;

  private final JsonValue.ObjectValue object;
  private final String path;
  private final JsonProblems problems;
  private final Set<String> requestedKeys = new LinkedHashSet<>();

  /**
   * Begins reading an object.
   *
   * @param object the object
   * @param path the path of the object, empty for the outermost one
   * @param problems where mistakes are noted
   */
  public JsonObjectReader(JsonValue.ObjectValue object, String path, JsonProblems problems) {
    this.object = object;
    this.path = path;
    this.problems = problems;
  }

  /**
   * Begins reading a value that must be an object.
   *
   * @param value the value
   * @param path the path of the value, empty for the outermost one
   * @param problems where mistakes are noted
   */
  public static JsonObjectReader of(JsonValue value, String path, JsonProblems problems) {
    if (value instanceof JsonValue.ObjectValue fields) {
      return new JsonObjectReader(fields, path, problems);
    }
    problems.add(new JsonProblem(value.position(), path, value.describe(), "an object"));
    JsonValue.ObjectValue nothing = new JsonValue.ObjectValue(value.position(), Map.of());
    // What is missing from a value of the wrong type is no further mistake.
    return new JsonObjectReader(nothing, path, new JsonProblems());
  }

  /** Returns where the object begins. */
  public JsonPosition position() {
    return object.position();
  }

  /** Returns the keys that the object holds, in their order. */
  public Set<String> keys() {
    return object.members().keySet();
  }

  /** Tells whether the object holds a key. */
  public boolean has(String key) {
    return object.members().containsKey(key);
  }

  /**
   * Tells whether a key is present with a string.
   *
   * @param key the key
   */
  public boolean isString(String key) {
    return has(key) && object.members().get(key).value() instanceof JsonValue.StringValue;
  }

  /**
   * Reads a name: letters, digits, dots, hyphens and underscores, at most 128.
   *
   * @param key the key, which must be there
   */
  public String name(String key) {
    String text = string(key);
    if (has(key) && !NAME.matcher(text).matches()) {
      addProblem(key, NAME_EXPECTED);
    }
    return text;
  }

  /**
   * Reads a name that may be missing.
   *
   * @param key the key
   */
  public Optional<String> optionalName(String key) {
    requestedKeys.add(key);
    return has(key) ? Optional.of(name(key)) : Optional.empty();
  }

  /**
   * Reads a string of 1 to 1024 characters.
   *
   * @param key the key, which must be there
   */
  public String string(String key) {
    return required(key, "a string").map(value -> stringOf(key, value)).orElse("");
  }

  /**
   * Reads a string that may be missing.
   *
   * @param key the key
   */
  public Optional<String> optionalString(String key) {
    return optional(key).map(value -> stringOf(key, value));
  }

  private String stringOf(String key, JsonValue value) {
    if (value instanceof JsonValue.StringValue text
        && !text.value().isEmpty()
        && text.value().length() <= MAX_STRING_CHARS) {
      return text.value();
    }
    addProblem(key, value, "a string of 1 to " + MAX_STRING_CHARS + " characters");
    return "";
  }

  /**
   * Reads a whole number.
   *
   * @param key the key, which must be there
   * @param min the least value
   * @param max the greatest value
   */
  public long integer(String key, long min, long max) {
    return required(key, describeIntegerRange(min, max))
        .map(value -> integerOf(key, value, min, max))
        .orElse(min);
  }

  /**
   * Reads a whole number that may be missing.
   *
   * @param key the key
   * @param min the least value
   * @param max the greatest value
   * @param defaultValue the value if the key is missing
   */
  public long integer(String key, long min, long max, long defaultValue) {
    return optional(key).map(value -> integerOf(key, value, min, max)).orElse(defaultValue);
  }

  private long integerOf(String key, JsonValue value, long min, long max) {
    Optional<Long> whole =
        value instanceof JsonValue.NumberValue number
            ? exactLong(number.value())
            : Optional.empty();
    if (whole.isPresent() && whole.get() >= min && whole.get() <= max) {
      return whole.get();
    }
    addProblem(key, value, describeIntegerRange(min, max));
    return min;
  }

  private static Optional<Long> exactLong(BigDecimal value) {
    try {
      return Optional.of(value.longValueExact());
    } catch (ArithmeticException e) {
      return Optional.empty();
    }
  }

  private static String describeIntegerRange(long min, long max) {
    return "a whole number from " + min + " to " + max;
  }

  /**
   * Reads a number.
   *
   * @param key the key, which must be there
   * @param min the least value
   * @param max the greatest value
   */
  public double number(String key, double min, double max) {
    return required(key, describeNumberRange(min, max))
        .map(value -> numberOf(key, value, min, max))
        .orElse(min);
  }

  /**
   * Reads a number that may be missing.
   *
   * @param key the key
   * @param min the least value
   * @param max the greatest value
   * @param defaultValue the value if the key is missing
   */
  public double number(String key, double min, double max, double defaultValue) {
    return optional(key).map(value -> numberOf(key, value, min, max)).orElse(defaultValue);
  }

  private double numberOf(String key, JsonValue value, double min, double max) {
    if (value instanceof JsonValue.NumberValue decimal) {
      double number = decimal.value().doubleValue();
      if (number >= min && number <= max) {
        return number;
      }
    }
    addProblem(key, value, describeNumberRange(min, max));
    return min;
  }

  private static String describeNumberRange(double min, double max) {
    return "a number from "
        + JsonMessageFormat.formatNumber(min)
        + " to "
        + JsonMessageFormat.formatNumber(max);
  }

  /**
   * Reads true or false.
   *
   * @param key the key
   * @param defaultValue the value if the key is missing
   */
  public boolean bool(String key, boolean defaultValue) {
    return optionalBool(key).orElse(defaultValue);
  }

  /**
   * Reads true or false that may be missing.
   *
   * @param key the key
   */
  public Optional<Boolean> optionalBool(String key) {
    return optional(key).map(value -> boolOf(key, value));
  }

  private boolean boolOf(String key, JsonValue value) {
    if (value instanceof JsonValue.BooleanValue flag) {
      return flag.value();
    }
    addProblem(key, value, "true or false");
    return false;
  }

  /**
   * Reads one of several words.
   *
   * @param key the key
   * @param choices the words with their meanings, in the order for messages
   * @return the meaning of the word, or empty if the key is missing or its word is no choice
   */
  public <E> Optional<E> choice(String key, Map<String, E> choices) {
    Optional<JsonValue> value = optional(key);
    if (value.isEmpty()) {
      return Optional.empty();
    }
    if (value.get() instanceof JsonValue.StringValue text && choices.containsKey(text.value())) {
      return Optional.of(choices.get(text.value()));
    }
    addProblem(key, value.get(), "one of " + String.join(", ", choices.keySet()));
    return Optional.empty();
  }

  /**
   * Reads an array of strings, none if the key is missing.
   *
   * @param key the key
   */
  public List<String> strings(String key) {
    List<String> texts = new ArrayList<>();
    for (JsonValue item : items(key)) {
      texts.add(stringOf(key, item));
    }
    return texts;
  }

  /**
   * Begins reading the objects of an array, none if the key is missing.
   *
   * @param key the key
   */
  public List<JsonObjectReader> objects(String key) {
    List<JsonObjectReader> readers = new ArrayList<>();
    List<JsonValue> items = items(key);
    for (int i = 0; i < items.size(); i++) {
      readers.add(of(items.get(i), pathOf(key) + "[" + i + "]", problems));
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
   * Begins reading an object that may be missing.
   *
   * @param key the key
   */
  public Optional<JsonObjectReader> object(String key) {
    return optional(key).map(value -> of(value, pathOf(key), problems));
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
   * Notes that a key must be there.
   *
   * @param key the key
   * @param expected what it should hold
   */
  public void requireKey(String key, String expected) {
    required(key, expected);
  }

  /**
   * Notes a mistake in the value of a key.
   *
   * @param key the key
   * @param expected what should stand there
   */
  public void addProblem(String key, String expected) {
    JsonValue.Member field = object.members().get(key);
    if (field == null) {
      required(key, expected);
    } else {
      addProblem(key, field.value(), expected);
    }
  }

  /**
   * Notes that a key is not one of those allowed.
   *
   * @param key the key
   * @param expected the keys that are allowed
   */
  public void addUnknownKeyProblem(String key, String expected) {
    requestedKeys.add(key);
    JsonPosition position = object.members().get(key).position();
    problems.add(new JsonProblem(position, pathOf(key), "an unknown key", expected));
  }

  private void addProblem(String key, JsonValue value, String expected) {
    problems.add(new JsonProblem(value.position(), pathOf(key), value.describe(), expected));
  }

  /** Ends the reading: each key that no accessor asked for is a mistake. */
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
