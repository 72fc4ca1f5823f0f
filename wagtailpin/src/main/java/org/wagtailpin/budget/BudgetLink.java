package org.wagtailpin.budget;

import java.util.Optional;
import java.util.function.Consumer;

/** Sends requests for units to other entries. Called on the control loop. */
public interface BudgetLink {

  /**
   * Sends a request.
   *
   * @param entry the identifier of the receiving entry
   * @param request the request
   * @param timeoutMillis how long to wait for the answer, in milliseconds
   * @param listener called once on the control loop with the answer, empty if there was none in
   *     time
   */
  void send(
      String entry,
      BudgetRequest request,
      long timeoutMillis,
      Consumer<Optional<BudgetReply>> listener);
}
