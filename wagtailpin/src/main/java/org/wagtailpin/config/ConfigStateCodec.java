package org.wagtailpin.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.wagtailpin.json.JsonObjectReader;
import org.wagtailpin.json.JsonParseResult;
import org.wagtailpin.json.JsonProblems;
import org.wagtailpin.json.JsonTextParser;

/** Codec of the shared state, which is stored as gzip-compressed JSON. Thread-safe. */
public final class ConfigStateCodec {

  private static final int FORMAT = 1;
  private static final int MAX_JSON_BYTES = 16_000_000;
  private static final JsonFactory FACTORY = new JsonFactory();

  private final ObjectWriter objectWriter = new ObjectWriter();
  private final ObjectFieldsReader objectReader = new ObjectFieldsReader();
  private final JsonTextParser parser = new JsonTextParser();

  /**
   * Encodes a state.
   *
   * @param state the state, including its marks and removals
   */
  public byte[] write(ConfigState state) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (OutputStream compressed = new GZIPOutputStream(bytes);
        JsonGenerator out = FACTORY.createGenerator(compressed)) {
      out.writeStartObject();
      out.writeNumberField("format", FORMAT);
      out.writeNumberField("floor", state.merged().floor());
      writeObjects(state, out);
      writeRemovals(state, out);
      writeMarks(state, out);
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException("failed to write JSON to memory", e);
    }
    return bytes.toByteArray();
  }

  private void writeObjects(ConfigState state, JsonGenerator out) throws IOException {
    out.writeArrayFieldStart("objects");
    for (VersionedObject object : state.merged().objects()) {
      if (object.value().isPresent()) {
        out.writeStartObject();
        out.writeNumberField("ticket", object.ticket());
        out.writeFieldName("object");
        objectWriter.write(object.value().get(), out);
        out.writeEndObject();
      }
    }
    out.writeEndArray();
  }

  private static void writeRemovals(ConfigState state, JsonGenerator out) throws IOException {
    out.writeArrayFieldStart("removals");
    for (VersionedObject object : state.merged().objects()) {
      if (object.value().isEmpty() && object.id().kind().isAllowedInTickets()) {
        out.writeStartObject();
        out.writeNumberField("ticket", object.ticket());
        out.writeStringField("kind", object.id().kind().label());
        out.writeStringField("name", object.id().name());
        out.writeEndObject();
      }
    }
    out.writeEndArray();
  }

  private static void writeMarks(ConfigState state, JsonGenerator out) throws IOException {
    out.writeArrayFieldStart("marks");
    for (TicketMark mark : state.marks()) {
      out.writeStartObject();
      out.writeNumberField("ticket", mark.number());
      out.writeStringField("content", mark.content().toString());
      out.writeStringField("attempt", mark.attempt());
      out.writeEndObject();
    }
    out.writeEndArray();
  }

  /**
   * Decodes a state.
   *
   * @param bytes a value written by {@link #write}; any other bytes give an unreadable result
   */
  public ConfigStateReadResult read(byte[] bytes) {
    byte[] text;
    try (GZIPInputStream compressed = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      text = compressed.readNBytes(MAX_JSON_BYTES);
    } catch (IOException e) {
      return new ConfigStateReadResult.Unreadable("not compressed data: " + e.getMessage());
    }
    JsonParseResult parsed = parser.parse("state", text);
    if (parsed instanceof JsonParseResult.Malformed malformed) {
      return new ConfigStateReadResult.Unreadable(malformed.problem().toString());
    }
    JsonProblems problems = new JsonProblems();
    JsonObjectReader in =
        JsonObjectReader.of(((JsonParseResult.Parsed) parsed).value(), "", problems);
    ConfigState state = readState(in);
    in.endObject();
    return problems.isEmpty()
        ? new ConfigStateReadResult.Read(state)
        : new ConfigStateReadResult.Unreadable(problems.all().get(0).toString());
  }

  private ConfigState readState(JsonObjectReader in) {
    in.integer("format", FORMAT, FORMAT);
    List<VersionedObject> objects = new ArrayList<>();
    long floor = in.integer("floor", 0, Ticket.MAX_NUMBER);
    if (floor > 0) {
      objects.add(new VersionedObject(MergedConfig.FLOOR_ID, floor, Optional.empty()));
    }
    for (JsonObjectReader object : in.objects("objects")) {
      readObject(object).ifPresent(objects::add);
    }
    for (JsonObjectReader removal : in.objects("removals")) {
      readRemoval(removal).ifPresent(objects::add);
    }
    List<TicketMark> marks = new ArrayList<>();
    for (JsonObjectReader mark : in.objects("marks")) {
      marks.add(readMark(mark));
    }
    return new ConfigState(objects, marks);
  }

  private Optional<VersionedObject> readObject(JsonObjectReader in) {
    long ticket = in.integer("ticket", 1, Ticket.MAX_NUMBER);
    in.requireKey("object", "an object");
    Optional<JsonObjectReader> fields = in.object("object");
    in.endObject();
    Optional<ConfigKind> kind = fields.flatMap(objectReader::kind);
    if (kind.isEmpty()) {
      return Optional.empty();
    }
    ConfigObject object = objectReader.read(kind.get(), fields.get());
    return Optional.of(new VersionedObject(object.id(), ticket, Optional.of(object)));
  }

  private Optional<VersionedObject> readRemoval(JsonObjectReader in) {
    long ticket = in.integer("ticket", 1, Ticket.MAX_NUMBER);
    Optional<ConfigKind> kind = objectReader.kind(in);
    String name = in.name("name");
    in.endObject();
    return kind.map(
        known -> new VersionedObject(new ObjectId(known, name), ticket, Optional.empty()));
  }

  private static TicketMark readMark(JsonObjectReader in) {
    long number = in.integer("ticket", 1, Ticket.MAX_NUMBER);
    String content = in.string("content");
    String attempt = in.string("attempt");
    in.endObject();
    if (!content.matches("[0-9a-f]{16}")) {
      in.addProblem("content", "sixteen hexadecimal digits");
      return new TicketMark(number, new ContentHash(0), attempt);
    }
    return new TicketMark(number, ContentHash.parse(content), attempt);
  }
}
