package org.wagtailpin.config;

import java.util.Map;
import org.wagtailpin.json.JsonPlace;
import org.wagtailpin.json.JsonProblem;

/** Where in its file a ticket names each object. */
public final class TicketPlaces {

  private final JsonPlace start;
  private final Map<ObjectId, JsonPlace> places;

  /**
   * Creates places.
   *
   * @param start where the ticket begins
   * @param places where each object begins
   */
  TicketPlaces(JsonPlace start, Map<ObjectId, JsonPlace> places) {
    this.start = start;
    this.places = Map.copyOf(places);
  }

  /**
   * Returns where an object begins, or where the ticket begins if it does not name the object.
   *
   * @param id the object
   */
  public JsonPlace of(ObjectId id) {
    return places.getOrDefault(id, start);
  }

  /**
   * Adds the place to a problem.
   *
   * @param problem a problem found in the state that the ticket would make
   */
  public JsonProblem locate(TicketProblem problem) {
    String key = problem.object() + " " + problem.key();
    return new JsonProblem(of(problem.object()), key, problem.found(), problem.expected());
  }
}
