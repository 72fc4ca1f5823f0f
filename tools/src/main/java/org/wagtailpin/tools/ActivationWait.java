package org.wagtailpin.tools;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.Ticket;

/** Polls entries until a ticket is in force at all of them. */
final class ActivationWait {

  private static final long POLL_MILLIS = 100;

  private final EntryReportClient entries;
  private final Clock clock;
  private final Console console;

  ActivationWait(EntryReportClient entries, Clock clock, Console console) {
    this.entries = entries;
    this.clock = clock;
    this.console = console;
  }

  /**
   * Waits until the ticket is in force at all entries and prints the state of each.
   *
   * @param ticket the ticket
   * @param waitMillis how long to wait at most
   * @return whether the ticket was in force at all entries in time
   */
  boolean await(Ticket ticket, long waitMillis) {
    long deadlineMillis = clock.millis() + waitMillis;
    List<EntryAnswer> answers = entries.fetchAll();
    while (!notInForce(ticket, answers).isEmpty() && clock.millis() < deadlineMillis) {
      pause();
      answers = entries.fetchAll();
    }
    answers.forEach(answer -> printState(ticket, answer));
    return notInForce(ticket, answers).isEmpty();
  }

  private static List<EntryAnswer> notInForce(Ticket ticket, List<EntryAnswer> answers) {
    List<EntryAnswer> remaining = new ArrayList<>(answers);
    remaining.removeIf(answer -> isInForce(ticket, answer));
    return remaining;
  }

  private static boolean isInForce(Ticket ticket, EntryAnswer answer) {
    return answer instanceof EntryAnswer.Reported reported && reported.report().includes(ticket);
  }

  private void printState(Ticket ticket, EntryAnswer answer) {
    if (answer instanceof EntryAnswer.NoReport noReport) {
      console.printError("  %s: not known, no answer: %s", noReport.address(), noReport.detail());
    } else if (answer instanceof EntryAnswer.Reported reported) {
      Instant since = Instant.ofEpochMilli(reported.report().sinceWallMillis());
      String state = isInForce(ticket, answer) ? "in force" : "not in force";
      console.print(
          "  %s: ticket %d %s; last change %s from %s %s",
          reported.address(),
          ticket.number(),
          state,
          since,
          reported.report().source(),
          reported.report().peer());
    }
  }

  private static void pause() {
    try {
      // The latch is never counted down: the call waits for the whole interval.
      boolean unused = new CountDownLatch(1).await(POLL_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
