package org.wagtailpin.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads JSON into a tree, without an {@code ObjectMapper}: its classes took a sixth of the
 * processor time of an entry's start.
 */
public final class JsonTree {

  private static final JsonFactory FACTORY =
      JsonFactory.builder().streamReadConstraints(JsonLimits.constraints().build()).build();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTree() {}

  /**
   * Reads one JSON value.
   *
   * @param bytes the text; a missing node is returned if it is empty
   * @throws IOException if the text is not one JSON value, or is nested too deeply
   */
  public static JsonNode read(byte[] bytes) throws IOException {
    try (JsonParser parser = FACTORY.createParser(bytes)) {
      if (parser.nextToken() == null) {
        return MissingNode.getInstance();
      }
      JsonNode value = value(parser);
      if (parser.nextToken() != null) {
        throw new JsonParseException(parser, "text after the value");
      }
      return value;
    }
  }

  // The parser throws above JsonLimits.MAX_DEPTH, which limits the depth of the recursion.
  private static JsonNode value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      default -> throw new JsonParseException(parser, "unexpected " + parser.currentToken());
    };
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  private static JsonNode object(JsonParser parser) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      object.set(name, value(parser));
    }
    return object;
  }

  private static JsonNode array(JsonParser parser) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(value(parser));
    }
    return array;
  }
}
