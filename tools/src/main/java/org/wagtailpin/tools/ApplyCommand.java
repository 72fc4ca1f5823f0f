package org.wagtailpin.tools;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.TicketResult;

/** Command that submits tickets for acceptance into the shared state, in the given order. */
public final class ApplyCommand extends ArgumentsCommand<ApplyCommand.Arguments> {

  static final class Arguments extends StoreArguments {
    @Argument(
        metaVar = "TICKET",
        required = true,
        usage = "ticket files, in the order to apply them")
    private List<String> files = new ArrayList<>();
  }

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String summary() {
    return "Applies tickets to the shared state, each as a whole or not at all.";
  }

  @Override
  String usage() {
    return "TICKET... [--store URL] [--wait --entries IP:PORT,...]";
  }

  @Override
  Arguments defaults() {
    return new Arguments();
  }

  @Override
  int run(Arguments arguments, Console console) {
    Optional<URI> address = arguments.storeAddress(console);
    if (address.isEmpty() || !arguments.isComplete(console)) {
      return ExitCode.USAGE;
    }
    List<TicketFile> tickets = new ArrayList<>();
    for (String file : arguments.files) {
      TicketFile.read(file, console).ifPresent(tickets::add);
    }
    if (tickets.size() < arguments.files.size()) {
      console.printError("no ticket was applied");
      return ExitCode.NOT_DONE;
    }
    try (StoreConnection store = new StoreConnection(address.get())) {
      return applyAll(tickets, arguments, store, console);
    }
  }

  private static int applyAll(
      List<TicketFile> tickets, Arguments arguments, StoreConnection store, Console console) {
    for (TicketFile ticket : tickets) {
      int code = apply(ticket, arguments, store, console);
      if (code != ExitCode.DONE) {
        return code;
      }
    }
    return ExitCode.DONE;
  }

  private static int apply(
      TicketFile ticket, Arguments arguments, StoreConnection store, Console console) {
    TicketResult result =
        store.acceptor().accept(ticket.ticket(), arguments.storeTimeoutMillis()).join();
    if (result instanceof TicketResult.Refused refused) {
      ticket.printProblems(refused.problems(), console);
    }
    String settleCommand =
        "bin/wagtailpin apply " + ticket.file() + " --store " + arguments.storeText();
    int code = new TicketResultPrinter(console).printResult(result, settleCommand);
    if (code != ExitCode.DONE || !arguments.waits()) {
      return code;
    }
    EntryReportClient entries = new EntryReportClient(store.http(), arguments.entriesText());
    ActivationWait wait = new ActivationWait(entries, new SystemClock(), console);
    if (wait.await(ticket.ticket(), arguments.waitMillis())) {
      return ExitCode.DONE;
    }
    console.printError(
        "ticket %d is accepted but was not seen in force at all entries within %d ms",
        ticket.ticket().number(), arguments.waitMillis());
    return ExitCode.NOT_DONE;
  }
}
