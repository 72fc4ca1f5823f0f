package org.wagtailpin.tools;

import java.util.List;
import java.util.Optional;
import org.wagtailpin.config.Ticket;
import org.wagtailpin.config.TicketPositions;
import org.wagtailpin.config.TicketProblem;
import org.wagtailpin.config.TicketReadResult;
import org.wagtailpin.config.TicketReader;

/**
 * A ticket together with the file that it was read from.
 *
 * @param file the file's name
 * @param ticket the ticket
 * @param positions lines and columns of the ticket's objects in the file
 */
record TicketFile(String file, Ticket ticket, TicketPositions positions) {

  /** Reads a ticket, or prints the problems and returns empty if the file is not valid. */
  static Optional<TicketFile> read(String file, Console console) {
    return FileText.read(file, console).flatMap(text -> parse(file, text, console));
  }

  /** Parses a ticket, or prints the problems and returns empty if the text is not valid. */
  static Optional<TicketFile> parse(String file, byte[] text, Console console) {
    TicketReadResult result = new TicketReader().read(file, text);
    if (result instanceof TicketReadResult.Malformed malformed) {
      malformed.problems().forEach(problem -> console.printError("%s", problem));
      return Optional.empty();
    }
    TicketReadResult.Read read = (TicketReadResult.Read) result;
    return Optional.of(new TicketFile(file, read.ticket(), read.positions()));
  }

  /** Prints problems of the state that the ticket would make, with their positions in the file. */
  void printProblems(List<TicketProblem> problems, Console console) {
    problems.forEach(problem -> console.printError("%s", positions.locate(problem)));
  }
}
