package org.wagtailpin.config;

import java.util.List;
import org.wagtailpin.json.JsonObjectReader;
import org.wagtailpin.json.JsonParseResult;
import org.wagtailpin.json.JsonProblems;
import org.wagtailpin.json.JsonTextParser;
import org.wagtailpin.json.ValueChecks;

/**
 * Codec of single configuration objects in the JSON form that tickets use.
 *
 * <p>The written form is canonical: equal objects give equal bytes. Reading is strict: an unknown
 * key, a missing key and a value out of range are reported as problems. Of objects that another
 * entry has in force only the types are checked. Thread-safe.
 */
public final class ConfigJson {

  private static final String ORIGIN = "object";

  private final ObjectWriter writer = new ObjectWriter();
  private final ObjectFieldsReader reader = new ObjectFieldsReader();
  private final JsonTextParser parser = new JsonTextParser();

  /**
   * Writes an object in its canonical form.
   *
   * @param object an object of any kind
   * @return its JSON in UTF-8, on one line
   */
  public byte[] write(ConfigObject object) {
    return writer.write(object);
  }

  /**
   * Reads an object of a given kind.
   *
   * @param kind the expected kind; the JSON may omit its kind, but must not name another
   * @param json a JSON object in UTF-8
   */
  public ObjectReadResult read(ConfigKind kind, byte[] json) {
    return read(kind, json, ValueChecks.ALL);
  }

  /**
   * Reads an object that another entry has in force. What one entry takes from the store must be
   * readable by all, so its names and ranges are not checked again.
   *
   * @param kind the expected kind
   * @param json a JSON object in UTF-8, as {@link #write} gives it
   */
  public ObjectReadResult readFromPeer(ConfigKind kind, byte[] json) {
    return read(kind, json, ValueChecks.TYPES);
  }

  private ObjectReadResult read(ConfigKind kind, byte[] json, ValueChecks checks) {
    JsonParseResult parsed = parser.parse(ORIGIN, json);
    if (parsed instanceof JsonParseResult.Malformed malformed) {
      return new ObjectReadResult.Malformed(List.of(malformed.problem()));
    }
    JsonProblems problems = new JsonProblems();
    JsonObjectReader fields =
        JsonObjectReader.of(((JsonParseResult.Parsed) parsed).value(), "", problems, checks);
    ConfigObject object = reader.read(kind, fields);
    return problems.isEmpty()
        ? new ObjectReadResult.Read(object)
        : new ObjectReadResult.Malformed(problems.all());
  }
}
