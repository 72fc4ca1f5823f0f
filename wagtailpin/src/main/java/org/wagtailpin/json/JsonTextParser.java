package org.wagtailpin.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parser of JSON texts with comments.
 *
 * <p>A text contains one value. Comments in Java syntax and trailing commas are allowed; a
 * duplicate key in an object is a problem. Nesting depth and text length are limited. Thread-safe.
 */
public final class JsonTextParser {

  private static final int MAX_DOCUMENT_CHARS = 16_000_000;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .streamReadConstraints(
              JsonLimits.constraints().maxDocumentLength(MAX_DOCUMENT_CHARS).build())
          .build();

  /**
   * Parses a text.
   *
   * @param file the name of the origin of the text, used in positions
   * @param text the text in UTF-8
   */
  public JsonParseResult parse(String file, byte[] text) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() == null) {
        return malformed(file, parser, "the end of the text", "a value");
      }
      JsonValue value = readValue(file, parser);
      if (parser.nextToken() != null) {
        return malformed(file, parser, "more text", "the end of the text");
      }
      return new JsonParseResult.Parsed(value);
    } catch (JsonProcessingException e) {
      return malformed(file, e);
    } catch (IOException e) {
      JsonPosition start = new JsonPosition(file, 1, 1);
      String detail = JsonMessageFormat.quote(String.valueOf(e.getMessage()));
      return new JsonParseResult.Malformed(new JsonProblem(start, "", detail, "a JSON text"));
    }
  }

  private static JsonParseResult malformed(
      String file, JsonParser parser, String found, String expected) {
    JsonPosition position = position(file, parser.currentTokenLocation());
    return new JsonParseResult.Malformed(new JsonProblem(position, "", found, expected));
  }

  private static JsonParseResult malformed(String file, JsonProcessingException e) {
    JsonLocation location = e.getLocation() == null ? JsonLocation.NA : e.getLocation();
    String found = e.getOriginalMessage().lines().findFirst().orElse("text");
    JsonProblem problem = new JsonProblem(position(file, location), "", found, "well-formed JSON");
    return new JsonParseResult.Malformed(problem);
  }

  private static JsonPosition position(String file, JsonLocation location) {
    return new JsonPosition(
        file, Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
  }

  private static JsonValue readValue(String file, JsonParser parser) throws IOException {
    JsonPosition position = position(file, parser.currentTokenLocation());
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(file, parser, position);
      case START_ARRAY -> readArray(file, parser, position);
      case VALUE_STRING -> new JsonValue.StringValue(position, parser.getText());
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
          new JsonValue.NumberValue(position, readNumber(parser));
      case VALUE_TRUE -> new JsonValue.BooleanValue(position, true);
      case VALUE_FALSE -> new JsonValue.BooleanValue(position, false);
      default -> new JsonValue.NullValue(position);
    };
  }

  // Jackson converts numbers lazily, and throws an unchecked exception for one that is out of the
  // range of BigDecimal.
  private static BigDecimal readNumber(JsonParser parser) throws IOException {
    try {
      return parser.getDecimalValue();
    } catch (NumberFormatException e) {
      throw new JsonParseException(parser, "a number that is too large", e);
    }
  }

  private static JsonValue readObject(String file, JsonParser parser, JsonPosition position)
      throws IOException {
    Map<String, JsonValue.Member> members = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      JsonPosition keyPosition = position(file, parser.currentTokenLocation());
      String key = parser.currentName();
      parser.nextToken();
      members.put(key, new JsonValue.Member(keyPosition, readValue(file, parser)));
    }
    return new JsonValue.ObjectValue(position, members);
  }

  private static JsonValue readArray(String file, JsonParser parser, JsonPosition position)
      throws IOException {
    List<JsonValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(readValue(file, parser));
    }
    return new JsonValue.ArrayValue(position, items);
  }
}
