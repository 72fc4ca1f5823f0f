package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtailpin.json.JsonObjectReader;
import org.wagtailpin.json.JsonParseResult;
import org.wagtailpin.json.JsonPosition;
import org.wagtailpin.json.JsonProblem;
import org.wagtailpin.json.JsonProblems;
import org.wagtailpin.json.JsonTextParser;
import org.wagtailpin.json.JsonValue;

/** Reads tickets, which are written in JSON with comments. Thread-safe. */
public final class TicketReader {

  /** Maximum size of a ticket, in bytes. */
  public static final int MAX_TICKET_BYTES = 1_000_000;

  private static final String TICKET = "ticket";
  private static final String OBJECTS = "objects";
  private static final String REMOVALS = "removals";

  private final JsonTextParser parser = new JsonTextParser();
  private final ObjectFieldsReader reader = new ObjectFieldsReader();

  /**
   * Reads a ticket, reporting all problems of a well-formed JSON text at once.
   *
   * @param file the name of its file, used in messages only
   * @param text the content of the file in UTF-8
   */
  public TicketReadResult read(String file, byte[] text) {
    JsonPosition start = new JsonPosition(file, 1, 1);
    if (text.length > MAX_TICKET_BYTES) {
      String expected = "at most " + MAX_TICKET_BYTES + " bytes";
      return malformed(new JsonProblem(start, "", text.length + " bytes", expected));
    }
    JsonParseResult parsed = parser.parse(file, text);
    if (parsed instanceof JsonParseResult.Malformed malformed) {
      return malformed(malformed.problem());
    }
    return new Reading().read(((JsonParseResult.Parsed) parsed).value());
  }

  private static TicketReadResult malformed(JsonProblem problem) {
    return new TicketReadResult.Malformed(List.of(problem));
  }

  /** State of reading one ticket: the problems and object positions found so far. */
  private final class Reading {
    private final JsonProblems problems = new JsonProblems();
    private final Map<ObjectId, JsonPosition> positions = new HashMap<>();

    TicketReadResult read(JsonValue value) {
      JsonObjectReader in = JsonObjectReader.of(value, "", problems);
      long number = in.integer(TICKET, 1, Ticket.MAX_NUMBER);
      List<ConfigObject> objects = objects(in);
      List<ObjectId> removals = removals(in);
      if (problems.isEmpty() && objects.isEmpty() && removals.isEmpty()) {
        in.addProblem(in.has(REMOVALS) ? REMOVALS : OBJECTS, "at least one object or removal");
      }
      in.endObject();
      if (!problems.isEmpty()) {
        return new TicketReadResult.Malformed(problems.all());
      }
      Ticket ticket = new Ticket(number, objects, removals);
      return new TicketReadResult.Read(ticket, new TicketPositions(in.position(), positions));
    }

    private List<ConfigObject> objects(JsonObjectReader in) {
      List<ConfigObject> objects = new ArrayList<>();
      for (JsonObjectReader object : in.objects(OBJECTS)) {
        Optional<ConfigKind> kind = reader.kind(object);
        if (kind.isPresent()) {
          ConfigObject read = reader.read(kind.get(), object);
          recordPosition(read.id(), object);
          objects.add(read);
        }
      }
      return objects;
    }

    private List<ObjectId> removals(JsonObjectReader in) {
      List<ObjectId> removals = new ArrayList<>();
      for (JsonObjectReader removal : in.objects(REMOVALS)) {
        Optional<ConfigKind> kind = reader.kind(removal);
        String name = removal.name("name");
        removal.endObject();
        if (kind.isPresent()) {
          ObjectId id = new ObjectId(kind.get(), name);
          recordPosition(id, removal);
          removals.add(id);
        }
      }
      return removals;
    }

    private void recordPosition(ObjectId id, JsonObjectReader at) {
      JsonPosition earlier = positions.putIfAbsent(id, at.position());
      if (earlier != null) {
        at.addProblem("name", "an object that the ticket names once, not also at " + earlier);
      }
    }
  }
}
