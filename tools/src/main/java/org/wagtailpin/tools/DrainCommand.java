package org.wagtailpin.tools;

import java.net.URI;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.SharedStateReadResult;
import org.wagtailpin.config.TicketResult;

/** Command that marks a backend server as leaving, so that it gets no new work. */
public final class DrainCommand extends ArgumentsCommand<DrainCommand.Arguments> {

  private static final int MAX_ATTEMPTS = 10;

  static final class Arguments extends StoreArguments {
    @Argument(metaVar = "SERVER", required = true, usage = "name of the backend server")
    private String server = "";
  }

  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String summary() {
    return "Marks a backend server as leaving, with a ticket of the next free number.";
  }

  @Override
  String usage() {
    return "SERVER [--store URL] [--wait --entries IP:PORT,...]";
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
    try (StoreConnection store = new StoreConnection(address.get())) {
      for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        Optional<Integer> code = drain(arguments, store, console);
        if (code.isPresent()) {
          return code.get();
        }
      }
    }
    console.printError(
        "gave up after %d attempts: each time another operator changed the state first",
        MAX_ATTEMPTS);
    return ExitCode.NOT_DONE;
  }

  /** Makes and submits a ticket; returns empty if another operator changed the state first. */
  private static Optional<Integer> drain(
      Arguments arguments, StoreConnection store, Console console) {
    SharedStateReadResult read = store.readState().join();
    if (read instanceof SharedStateReadResult.Failed failed) {
      console.printError("%s: not drained: %s", arguments.server, failed.fault());
      return Optional.of(ExitCode.NOT_DONE);
    }
    Optional<DrainTicket> drain =
        DrainTicket.of(arguments.server, ((SharedStateReadResult.Loaded) read).state());
    if (drain.isEmpty()) {
      console.printError("found no server %s, expected one of the shared state", arguments.server);
      return Optional.of(ExitCode.NOT_DONE);
    }
    if (drain.get().alreadyLeaving()) {
      console.print("%s: leaving since ticket %d", arguments.server, drain.get().basis().ticket());
      return Optional.of(ExitCode.DONE);
    }
    TicketResult result = drain.get().accept(store, arguments.storeTimeoutMillis());
    boolean raced =
        result instanceof TicketResult.NumberTaken || result instanceof TicketResult.BasisChanged;
    return raced
        ? Optional.empty()
        : Optional.of(reportAndWait(result, drain.get(), arguments, store, console));
  }

  private static int reportAndWait(
      TicketResult result,
      DrainTicket drain,
      Arguments arguments,
      StoreConnection store,
      Console console) {
    String settleCommand =
        "bin/wagtailpin drain " + arguments.server + " --store " + arguments.storeText();
    int code = new TicketResultPrinter(console).printResult(result, settleCommand);
    if (code != ExitCode.DONE || !arguments.waits()) {
      return code;
    }
    EntryReportClient entries = new EntryReportClient(store.http(), arguments.entriesText());
    ActivationWait wait = new ActivationWait(entries, new SystemClock(), console);
    return wait.await(drain.ticket(), arguments.waitMillis()) ? ExitCode.DONE : ExitCode.NOT_DONE;
  }
}
