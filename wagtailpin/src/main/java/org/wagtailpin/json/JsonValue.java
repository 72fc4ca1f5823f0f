package org.wagtailpin.json;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;

/** A JSON value that knows its place. */
public sealed interface JsonValue {

  /** Returns where the value begins. */
  JsonPosition position();

  /** Returns the value in a few words, for messages. */
  String describe();

  /**
   * A string.
   *
   * @param position where it begins
   * @param value its content
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
   * @param value its value
   */
  record NumberValue(JsonPosition position, BigDecimal value) implements JsonValue {
    @Override
    public String describe() {
      return value.toString();
    }
  }

  /**
   * True or false.
   *
   * @param position where it begins
   * @param value its value
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
   * @param items its values
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
   * @param members its members in their order
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
   * @param position where its key begins
   * @param value its value
   */
  record Member(JsonPosition position, JsonValue value) {}
}
