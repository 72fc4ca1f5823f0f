package org.wagtailpin.tools;

import java.util.List;
import org.wagtailpin.standins.backend.BackendServerCommand;
import org.wagtailpin.standins.hosts.HostListStandInCommand;
import org.wagtailpin.standins.store.StoreStandInCommand;

/** Command that runs a stand-in for an external system: the store, the host list or a server. */
final class StandInCommand implements Command {

  private static final String USAGE = "usage: wagtailpin standin store|hosts|server [--help]";

  @Override
  public String name() {
    return "standin";
  }

  @Override
  public String summary() {
    return "Runs a stand-in for the store, the host list or a backend server.";
  }

  @Override
  public int run(List<String> arguments, Console console) {
    if (arguments.isEmpty()) {
      console.printError(USAGE);
      return ExitCode.USAGE;
    }
    String[] rest = arguments.subList(1, arguments.size()).toArray(new String[0]);
    return switch (arguments.get(0)) {
      case "store" -> StoreStandInCommand.run(rest, console.out(), console.err());
      case "hosts" -> HostListStandInCommand.run(rest, console.out(), console.err());
      case "server" -> new BackendServerCommand().run(rest, console.out(), console.err());
      case "--help" -> {
        console.print(USAGE);
        yield ExitCode.DONE;
      }
      default -> {
        console.printError("found %s, expected store, hosts or server", arguments.get(0));
        yield ExitCode.USAGE;
      }
    };
  }
}
