package org.wagtailpin.proof.model;

import static java.nio.charset.StandardCharsets.UTF_8;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import kodkod.engine.satlab.SATFactory;

/**
 * An Alloy specification and its commands. A line that ends in {@code -- guard: NAME CHECK...} is a
 * {@link Guard} of each check that it lists, and can be removed to show that the check needs it.
 */
final class Specification {

  private static final String GUARD_MARK = "-- guard: ";

  private final String name;
  private final String text;

  private Specification(String name, String text) {
    this.name = name;
    this.text = text;
  }

  /** Loads the specification {@code name.als} from the class path. */
  static Specification load(String name) {
    String path = "/org/wagtailpin/proof/model/" + name + ".als";
    try (InputStream in = Specification.class.getResourceAsStream(path)) {
      return new Specification(name, new String(in.readAllBytes(), UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  String name() {
    return name;
  }

  /** Returns the names of the check commands, or of the run commands if {@code checks} is false. */
  List<String> commands(boolean checks) {
    return CompUtil.parseEverything_fromString(A4Reporter.NOP, text).getAllCommands().stream()
        .filter(command -> command.check == checks)
        .map(command -> command.label)
        .toList();
  }

  /** Returns the guards; a line that guards several checks gives one guard for each check. */
  List<Guard> guards() {
    List<Guard> guards = new ArrayList<>();
    List<String> lines = text.lines().toList();
    for (int i = 0; i < lines.size(); i++) {
      int mark = lines.get(i).indexOf(GUARD_MARK);
      if (mark >= 0) {
        List<String> words =
            List.of(lines.get(i).substring(mark + GUARD_MARK.length()).trim().split(" "));
        for (String check : words.subList(1, words.size())) {
          guards.add(new Guard(words.get(0), i, check));
        }
      }
    }
    return guards;
  }

  /** Returns a copy of this specification without the line of the guard. */
  Specification without(Guard guard) {
    List<String> lines = new ArrayList<>(text.lines().toList());
    lines.remove(guard.line());
    return new Specification(name + " without " + guard.name(), String.join("\n", lines));
  }

  /** Executes a command; a check is satisfiable if it has a counterexample. */
  A4Solution execute(String commandName) {
    CompModule module = CompUtil.parseEverything_fromString(A4Reporter.NOP, text);
    Command command =
        module.getAllCommands().stream()
            .filter(each -> each.label.equals(commandName))
            .findFirst()
            .orElseThrow();
    A4Options options = new A4Options();
    options.solver = SATFactory.find("sat4j").orElse(SATFactory.DEFAULT);
    return TranslateAlloyToKodkod.execute_command(
        A4Reporter.NOP, module.getAllReachableSigs(), command, options);
  }
}
