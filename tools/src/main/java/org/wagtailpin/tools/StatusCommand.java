package org.wagtailpin.tools;

import java.net.URI;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wagtailpin.config.ConfigReport;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.SharedStateReadResult;

/** Command that shows which entries have the accepted configuration in force. */
public final class StatusCommand extends ArgumentsCommand<StatusCommand.Arguments> {

  static final class Arguments extends StoreArguments {}

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String summary() {
    return "Shows which entries have the accepted configuration in force, and since when.";
  }

  @Override
  String usage() {
    return "--entries IP:PORT,... [--store URL]";
  }

  @Override
  Arguments defaults() {
    return new Arguments();
  }

  @Override
  int run(Arguments arguments, Console console) {
    Optional<URI> address = arguments.storeAddress(console);
    if (address.isEmpty()) {
      return ExitCode.USAGE;
    }
    try (StoreConnection store = new StoreConnection(address.get())) {
      Optional<String> accepted = readAcceptedDigest(store, console);
      List<EntryAnswer> answers =
          new EntryReportClient(store.http(), arguments.entriesText()).fetchAll();
      boolean allMatch = true;
      for (EntryAnswer answer : answers) {
        allMatch &= printEntry(answer, accepted, console);
      }
      return allMatch && accepted.isPresent() ? ExitCode.DONE : ExitCode.NOT_DONE;
    }
  }

  private static Optional<String> readAcceptedDigest(StoreConnection store, Console console) {
    SharedStateReadResult result = store.readState().join();
    if (result instanceof SharedStateReadResult.Failed failed) {
      console.printError("store: the accepted configuration is not known: %s", failed.fault());
      return Optional.empty();
    }
    MergedConfig merged = ((SharedStateReadResult.Loaded) result).state().merged();
    String digest = ConfigReport.digestText(merged);
    console.print(
        "store: digest %s, highest ticket %d, closed up to %d, %d objects",
        digest, merged.highestTicket(), merged.floor(), merged.live().size());
    return Optional.of(digest);
  }

  private static boolean printEntry(
      EntryAnswer answer, Optional<String> accepted, Console console) {
    if (answer instanceof EntryAnswer.NoReport noReport) {
      console.print("%s: no answer: %s", noReport.address(), noReport.detail());
      return false;
    }
    ConfigReport report = ((EntryAnswer.Reported) answer).report();
    boolean matches = accepted.isPresent() && accepted.get().equals(report.digest());
    String verdict = accepted.isEmpty() ? "not compared" : matches ? "in force" : "not in force";
    console.print(
        "%s: %s: digest %s, highest ticket %d, since %s, from %s %s",
        answer.address(),
        verdict,
        report.digest(),
        report.highestTicket(),
        Instant.ofEpochMilli(report.sinceWallMillis()),
        report.source(),
        report.peer());
    return matches;
  }
}
