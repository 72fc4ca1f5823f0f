package org.wagtailpin.tools;

import java.util.List;
import org.wagtailpin.config.TicketResult;
import org.wagtailpin.config.VersionedObject;

/** Prints the result of submitting a ticket and maps it to an exit code. */
final class TicketResultPrinter {

  private final Console console;

  TicketResultPrinter(Console console) {
    this.console = console;
  }

  /**
   * Prints a result.
   *
   * @param result the result
   * @param settleCommand the command line that an operator can run to settle an unknown outcome
   * @return the matching code of {@link ExitCode}
   */
  int printResult(TicketResult result, String settleCommand) {
    long number = result.ticket();
    if (result instanceof TicketResult.Accepted accepted) {
      console.print("ticket %d: accepted", number);
      printKeptObjects(accepted.kept());
      return ExitCode.DONE;
    }
    if (result instanceof TicketResult.AcceptedBefore before) {
      console.print("ticket %d: accepted before with the same content, nothing changed", number);
      printKeptObjects(before.kept());
      return ExitCode.DONE;
    }
    if (result instanceof TicketResult.Unknown unknown) {
      console.printError("ticket %d: outcome unknown: %s", number, unknown.fault());
      console.printError("settle it with: %s", settleCommand);
      return ExitCode.UNKNOWN;
    }
    console.printError("ticket %d: not accepted, nothing changed: %s", number, reason(result));
    return ExitCode.NOT_DONE;
  }

  private void printKeptObjects(List<VersionedObject> kept) {
    for (VersionedObject object : kept) {
      console.print("  %s keeps its state of ticket %d", object.id(), object.ticket());
    }
  }

  private static String reason(TicketResult result) {
    if (result instanceof TicketResult.NumberTaken taken) {
      return String.format(
          "the number was accepted with content %s, found content %s",
          taken.accepted(), taken.offered());
    }
    if (result instanceof TicketResult.NumberClosed closed) {
      return "numbers up to " + closed.floor() + " are closed, expected a higher one";
    }
    if (result instanceof TicketResult.TooLarge large) {
      return String.format(
          "the state would be %d bytes, expected at most %d", large.bytes(), large.maxBytes());
    }
    if (result instanceof TicketResult.BasisChanged changed) {
      return changed.basis().id() + " has changed since the ticket was made";
    }
    if (result instanceof TicketResult.NotAccepted notAccepted) {
      return notAccepted.fault().toString();
    }
    return "the resulting state would be invalid";
  }
}
