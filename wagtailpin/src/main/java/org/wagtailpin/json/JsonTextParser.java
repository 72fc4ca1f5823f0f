package org.wagtailpin.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
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
 * <p>A text holds one value. Comments in the manner of Java and a comma after the last item are
 * allowed; a key that stands twice in an object is a mistake. Safe for use by threads.
 */
public final class JsonTextParser {

  private static final int MAX_DEPTH = 32;
  private static final int MAX_TEXT_CHARS = 16_000_000;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_DEPTH)
                  .maxDocumentLength(MAX_TEXT_CHARS)
                  .build())
          .build();

  /**
   * Parses a text.
   *
   * @param file the name of its origin, for messages
   * @param text the text in UTF-8
   */
  public JsonParseResult parse(String file, byte[] text) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() == null) {
        return malformed(file, parser, "the end of the text", "a value");
      }
      JsonValue value = value(file, parser);
      if (parser.nextToken() != null) {
        return malformed(file, parser, "more text", "the end of the text");
      }
      return new JsonParseResult.Parsed(value);
    } catch (JsonProcessingException e) {
      return malformed(file, e);
    } catch (IOException e) {
      JsonPlace start = new JsonPlace(file, 1, 1);
      String detail = JsonWords.quote(String.valueOf(e.getMessage()));
      return new JsonParseResult.Malformed(new JsonProblem(start, "", detail, "a JSON text"));
    }
  }

  private static JsonParseResult malformed(
      String file, JsonParser parser, String found, String expected) {
    JsonPlace place = place(file, parser.currentTokenLocation());
    return new JsonParseResult.Malformed(new JsonProblem(place, "", found, expected));
  }

  private static JsonParseResult malformed(String file, JsonProcessingException e) {
    JsonLocation location = e.getLocation() == null ? JsonLocation.NA : e.getLocation();
    String found = e.getOriginalMessage().lines().findFirst().orElse("text");
    JsonProblem problem = new JsonProblem(place(file, location), "", found, "well-formed JSON");
    return new JsonParseResult.Malformed(problem);
  }

  private static JsonPlace place(String file, JsonLocation location) {
    return new JsonPlace(
        file, Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
  }

  private static JsonValue value(String file, JsonParser parser) throws IOException {
    JsonPlace place = place(file, parser.currentTokenLocation());
    return switch (parser.currentToken()) {
      case START_OBJECT -> fields(file, parser, place);
      case START_ARRAY -> items(file, parser, place);
      case VALUE_STRING -> new JsonValue.Text(place, parser.getText());
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new JsonValue.Decimal(place, decimal(parser));
      case VALUE_TRUE -> new JsonValue.Flag(place, true);
      case VALUE_FALSE -> new JsonValue.Flag(place, false);
      default -> new JsonValue.Null(place);
    };
  }

  // Jackson reads a number late, and tells one that no decimal can hold by an unchecked exception.
  private static BigDecimal decimal(JsonParser parser) throws IOException {
    try {
      return parser.getDecimalValue();
    } catch (NumberFormatException e) {
      throw new JsonParseException(parser, "a number that is too large", e);
    }
  }

  private static JsonValue fields(String file, JsonParser parser, JsonPlace place)
      throws IOException {
    Map<String, JsonValue.Field> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      JsonPlace keyPlace = place(file, parser.currentTokenLocation());
      String key = parser.currentName();
      parser.nextToken();
      fields.put(key, new JsonValue.Field(keyPlace, value(file, parser)));
    }
    return new JsonValue.Fields(place, fields);
  }

  private static JsonValue items(String file, JsonParser parser, JsonPlace place)
      throws IOException {
    List<JsonValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(value(file, parser));
    }
    return new JsonValue.Items(place, items);
  }
}
