package org.wagtailpin.routing;

import java.util.function.Supplier;

/** Takes log lines of decisions from traffic threads. Never blocks; drops lines when it is full. */
public interface DecisionLines {

  /**
   * Offers a line.
   *
   * @param line makes the line's text, later and on another thread
   */
  void offer(Supplier<String> line);
}
