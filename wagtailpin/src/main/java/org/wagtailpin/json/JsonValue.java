package org.wagtailpin.json;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;

/** A JSON value that knows its place. */
public sealed interface JsonValue {

  /** Returns where the value begins. */
  JsonPlace place();

  /** Returns the value in a few words, for messages. */
  String describe();

  /**
   * A string.
   *
   * @param place where it begins
   * @param value its content
   */
  record Text(JsonPlace place, String value) implements JsonValue {
    @Override
    public String describe() {
      return JsonWords.quote(value);
    }
  }

  /**
   * A number.
   *
   * @param place where it begins
   * @param value its value
   */
  record Decimal(JsonPlace place, BigDecimal value) implements JsonValue {
    @Override
    public String describe() {
      return value.toString();
    }
  }

  /**
   * True or false.
   *
   * @param place where it begins
   * @param value its value
   */
  record Flag(JsonPlace place, boolean value) implements JsonValue {
    @Override
    public String describe() {
      return Boolean.toString(value);
    }
  }

  /**
   * The literal null.
   *
   * @param place where it begins
   */
  record Null(JsonPlace place) implements JsonValue {
    @Override
    public String describe() {
      return "null";
    }
  }

  /**
   * An array.
   *
   * @param place where it begins
   * @param items its values
   */
  record Items(JsonPlace place, List<JsonValue> items) implements JsonValue {
    @Override
    public String describe() {
      return "an array";
    }
  }

  /**
   * An object.
   *
   * @param place where it begins
   * @param fields its members in their order
   */
  record Fields(JsonPlace place, Map<String, Field> fields) implements JsonValue {
    @Override
    public String describe() {
      return "an object";
    }
  }

  /**
   * A member of an object.
   *
   * @param place where its key begins
   * @param value its value
   */
  record Field(JsonPlace place, JsonValue value) {}
}
