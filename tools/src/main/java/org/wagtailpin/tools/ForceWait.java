package org.wagtailpin.tools;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.Ticket;

/** Waits until a ticket is in force at the entries. */
final class ForceWait {

  private static final long POLL_MILLIS = 100;

  private final EntryReports entries;
  private final Clock clock;
  private final Console console;

  ForceWait(EntryReports entries, Clock clock, Console console) {
    this.entries = entries;
    this.clock = clock;
    this.console = console;
  }

  /** Returns whether the ticket came in force at all entries in time, and tells where it did. */
  boolean await(Ticket ticket, long waitMillis) {
    long endMillis = clock.millis() + waitMillis;
    List<EntryAnswer> answers = entries.ask();
    while (!missing(ticket, answers).isEmpty() && clock.millis() < endMillis) {
      pause();
      answers = entries.ask();
    }
    answers.forEach(answer -> tell(ticket, answer));
    return missing(ticket, answers).isEmpty();
  }

  private static List<EntryAnswer> missing(Ticket ticket, List<EntryAnswer> answers) {
    List<EntryAnswer> missing = new ArrayList<>(answers);
    missing.removeIf(answer -> isInForce(ticket, answer));
    return missing;
  }

  private static boolean isInForce(Ticket ticket, EntryAnswer answer) {
    return answer instanceof EntryAnswer.Told told && told.report().includes(ticket);
  }

  private void tell(Ticket ticket, EntryAnswer answer) {
    if (answer instanceof EntryAnswer.Silent silent) {
      console.complain("  %s: not known, no answer: %s", silent.address(), silent.detail());
    } else if (answer instanceof EntryAnswer.Told told) {
      Instant since = Instant.ofEpochMilli(told.report().sinceWallMillis());
      String state = isInForce(ticket, answer) ? "in force" : "not in force";
      console.say(
          "  %s: ticket %d %s; last change %s from %s %s",
          told.address(),
          ticket.number(),
          state,
          since,
          told.report().source(),
          told.report().peer());
    }
  }

  private static void pause() {
    try {
      // Nothing counts the latch down: this waits for the time to pass.
      boolean unused = new CountDownLatch(1).await(POLL_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
