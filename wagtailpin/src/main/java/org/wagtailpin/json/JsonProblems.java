package org.wagtailpin.json;

import java.util.ArrayList;
import java.util.List;

/** The mistakes found so far while a text is read. For use by one thread. */
public final class JsonProblems {

  private final List<JsonProblem> problems = new ArrayList<>();

  /**
   * Notes a mistake.
   *
   * @param problem the mistake
   */
  public void add(JsonProblem problem) {
    problems.add(problem);
  }

  /** Tells whether no mistake was found. */
  public boolean isEmpty() {
    return problems.isEmpty();
  }

  /** Returns the mistakes in the order in which they were found. */
  public List<JsonProblem> all() {
    return List.copyOf(problems);
  }
}
