package org.wagtailpin.json;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;

/** A JSON value with its position in the text. */
public sealed interface JsonValue {

  /** Returns where the value begins. */
  JsonPosition position();

  /** Returns a short description of the value for messages. */
  String describe();

  /**
   * A string.
   *
   * @param position where it begins
   * @param value the string without quotes and escapes
   */
  record StringValue(JsonPosition position, String value) implements JsonValue {
    @Override
    public String describe() {
      return JsonMessageFormat.quote(value);
    }
  }

  /**
   * A number.
   *
   * @param position where it begins
   * @param value the exact value
   */
  record NumberValue(JsonPosition position, BigDecimal value) implements JsonValue {
    @Override
    public String describe() {
      return value.toString();
    }
  }

  /**
   * A boolean.
   *
   * @param position where it begins
   * @param value true or false
   */
  record BooleanValue(JsonPosition position, boolean value) implements JsonValue {
    @Override
    public String describe() {
      return Boolean.toString(value);
    }
  }

  /**
   * The literal null.
   *
   * @param position where it begins
   */
  record NullValue(JsonPosition position) implements JsonValue {
    @Override
    public String describe() {
      return "null";
    }
  }

  /**
   * An array.
   *
   * @param position where it begins
   * @param items the elements in their order
   */
  record ArrayValue(JsonPosition position, List<JsonValue> items) implements JsonValue {
    @Override
    public String describe() {
      return "an array";
    }
  }

  /**
   * An object.
   *
   * @param position where it begins
   * @param members the members by key, in the order of the text
   */
  record ObjectValue(JsonPosition position, Map<String, Member> members) implements JsonValue {
    @Override
    public String describe() {
      return "an object";
    }
  }

  /**
   * A member of an object.
   *
   * @param position where the key begins
   * @param value the value of the member
   */
  record Member(JsonPosition position, JsonValue value) {}
}
