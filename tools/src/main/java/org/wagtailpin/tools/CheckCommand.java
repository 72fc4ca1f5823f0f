package org.wagtailpin.tools;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.TicketChecker;
import org.wagtailpin.config.TicketProblem;
import org.wagtailpin.json.JsonParseResult;
import org.wagtailpin.json.JsonProblem;
import org.wagtailpin.json.JsonTextParser;
import org.wagtailpin.json.JsonValue;

/** Command that checks settings and ticket files without contacting a store. */
public final class CheckCommand extends ArgumentsCommand<CheckCommand.Arguments> {

  private static final String TICKET_KEY = "ticket";

  static final class Arguments extends ArgumentsCommand.Arguments {
    @Argument(metaVar = "FILE", required = true, usage = "settings or ticket files")
    private List<String> files = new ArrayList<>();

    @Option(
        name = "--whole",
        usage = "the files hold all tickets: check references between them as well")
    private boolean completeSet;
  }

  private final Optional<SettingsChecker> settingsChecker;
  private final JsonTextParser parser = new JsonTextParser();

  /**
   * Creates the command.
   *
   * @param settingsChecker checks settings files; if empty, every file is read as a ticket
   */
  public CheckCommand(Optional<SettingsChecker> settingsChecker) {
    this.settingsChecker = settingsChecker;
  }

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String summary() {
    return "Checks settings and ticket files without contacting a store.";
  }

  @Override
  String usage() {
    return "FILE... [--whole]";
  }

  @Override
  Arguments defaults() {
    return new Arguments();
  }

  @Override
  int run(Arguments arguments, Console console) {
    boolean valid = true;
    List<TicketFile> tickets = new ArrayList<>();
    for (String file : arguments.files) {
      Optional<byte[]> text = FileText.read(file, console);
      valid &= text.isPresent() && checkFile(file, text.get(), tickets, console);
    }
    if (arguments.completeSet && valid) {
      valid = checkReferences(tickets, console);
    }
    if (valid) {
      console.print(
          "%d files are well formed, %d of them are tickets",
          arguments.files.size(), tickets.size());
    }
    return valid ? ExitCode.DONE : ExitCode.NOT_DONE;
  }

  private boolean checkFile(String file, byte[] text, List<TicketFile> tickets, Console console) {
    if (settingsChecker.isPresent() && !isTicket(file, text)) {
      List<JsonProblem> problems = settingsChecker.get().check(file, text);
      problems.forEach(problem -> console.printError("%s", problem));
      return problems.isEmpty();
    }
    Optional<TicketFile> ticket = TicketFile.parse(file, text, console);
    ticket.ifPresent(tickets::add);
    return ticket.isPresent();
  }

  private boolean isTicket(String file, byte[] text) {
    return parser.parse(file, text) instanceof JsonParseResult.Parsed parsed
        && parsed.value() instanceof JsonValue.ObjectValue fields
        && fields.members().containsKey(TICKET_KEY);
  }

  private static boolean checkReferences(List<TicketFile> tickets, Console console) {
    boolean valid = true;
    MergedConfig state = new MergedConfig();
    TicketChecker checker = new TicketChecker();
    for (TicketFile ticket : tickets) {
      List<TicketProblem> problems = checker.check(ticket.ticket(), state);
      ticket.printProblems(problems, console);
      valid &= problems.isEmpty();
      state.mergeAll(ticket.ticket().states());
    }
    return valid;
  }
}
