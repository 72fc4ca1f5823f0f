package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks the consistency of the state that a ticket would produce.
 *
 * <p>Only problems that the ticket introduces are reported, so that a state that violates a rule
 * added later can be corrected step by step. Thread-safe.
 */
public final class TicketChecker {

  /**
   * Checks a ticket.
   *
   * @param ticket the ticket to apply to the state
   * @param state the current state; not changed
   * @return the problems that the ticket would introduce, empty if there are none
   */
  public List<TicketProblem> check(Ticket ticket, MergedConfig state) {
    MergedConfig after = new MergedConfig();
    after.mergeAll(state.objects());
    after.mergeAll(ticket.states());
    List<TicketProblem> added = new ArrayList<>(StateChecker.check(after.live()));
    added.removeAll(StateChecker.check(state.live()));
    return added;
  }
}
