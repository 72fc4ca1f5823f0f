package org.wagtailpin.config;

import java.util.Map;
import org.wagtailpin.json.JsonPosition;
import org.wagtailpin.json.JsonProblem;

/** Where in its file a ticket names each object. */
public final class TicketPositions {

  private final JsonPosition start;
  private final Map<ObjectId, JsonPosition> positions;

  /**
   * Creates places.
   *
   * @param start where the ticket begins
   * @param positions where each object begins
   */
  TicketPositions(JsonPosition start, Map<ObjectId, JsonPosition> positions) {
    this.start = start;
    this.positions = Map.copyOf(positions);
  }

  /**
   * Returns where an object begins, or where the ticket begins if it does not name the object.
   *
   * @param id the object
   */
  public JsonPosition positionOf(ObjectId id) {
    return positions.getOrDefault(id, start);
  }

  /**
   * Adds the place to a problem.
   *
   * @param problem a problem found in the state that the ticket would make
   */
  public JsonProblem locate(TicketProblem problem) {
    String key = problem.object() + " " + problem.key();
    return new JsonProblem(positionOf(problem.object()), key, problem.found(), problem.expected());
  }
}
