package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks a ticket against the state that it would make.
 *
 * <p>Only what the ticket makes wrong is told: a state that was wrong before, by a rule added
 * since, can be mended step by step. Safe for use by threads.
 */
public final class TicketChecker {

  /**
   * Checks a ticket.
   *
   * @param ticket the ticket
   * @param state the state before it; not changed
   * @return what the ticket would make wrong
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
