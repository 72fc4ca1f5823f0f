package org.wagtailpin.json;

import java.util.ArrayList;
import java.util.List;

/** Collects the problems found while a JSON text is read. Not thread-safe. */
public final class JsonProblems {

  private final List<JsonProblem> problems = new ArrayList<>();

  /**
   * Adds a problem.
   *
   * @param problem the problem; duplicates are kept
   */
  public void add(JsonProblem problem) {
    problems.add(problem);
  }

  /** Returns whether no problem was added. */
  public boolean isEmpty() {
    return problems.isEmpty();
  }

  /** Returns a copy of the problems in the order in which they were added. */
  public List<JsonProblem> all() {
    return List.copyOf(problems);
  }
}
