package org.wagtailpin.config;

import java.util.Map;
import org.wagtailpin.json.JsonPosition;
import org.wagtailpin.json.JsonProblem;

/** The positions of a ticket's objects and removals in its file. */
public final class TicketPositions {

  private final JsonPosition start;
  private final Map<ObjectId, JsonPosition> positions;

  /**
   * Creates the positions of a ticket.
   *
   * @param start where the ticket begins
   * @param positions where each object or removal begins
   */
  TicketPositions(JsonPosition start, Map<ObjectId, JsonPosition> positions) {
    this.start = start;
    this.positions = Map.copyOf(positions);
  }

  /**
   * Returns where an object begins, or where the ticket begins if it does not contain the object.
   *
   * @param id identity of the object
   */
  public JsonPosition positionOf(ObjectId id) {
    return positions.getOrDefault(id, start);
  }

  /**
   * Converts a problem into one with the position of its object.
   *
   * @param problem a problem in the state that the ticket would produce
   */
  public JsonProblem locate(TicketProblem problem) {
    String key = problem.object() + " " + problem.key();
    return new JsonProblem(positionOf(problem.object()), key, problem.found(), problem.expected());
  }
}
