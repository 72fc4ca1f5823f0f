package org.wagtailpin.daemon;

import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;

/**
 * Command that runs an entry until SIGTERM, upon which the entry leaves gracefully. SIGHUP reloads
 * the tunables of its settings.
 *
 * <p>Exit codes: 0 after leaving, 1 if the entry could not start, 2 for invalid arguments or
 * settings.
 */
public final class EntryCommand {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  private final EntryPlatform platform;

  @Option(name = "--settings", required = true, usage = "path of the settings file")
  private File settingsFile;

  @Option(name = "--help", help = true, usage = "print this text")
  private boolean help;

  private Optional<EntryNode> started = Optional.empty();
  private boolean hungUpBeforeStart;

  /** Creates the command for the project's own protocols. */
  public EntryCommand() {
    this(new StandardPlatform());
  }

  /**
   * Creates the command.
   *
   * @param platform the platform on which the entry runs
   */
  public EntryCommand(EntryPlatform platform) {
    this.platform = platform;
  }

  /**
   * Runs the command.
   *
   * @param args the arguments after the command's name
   * @param out receives the usage text for {@code --help}
   * @param err receives errors
   * @return the exit code, once the entry has left
   */
  public int run(String[] args, PrintStream out, PrintStream err) {
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println("entry: " + e.getMessage());
      parser.printUsage(err);
      return EXIT_USAGE;
    }
    if (help) {
      parser.printUsage(out);
      return EXIT_OK;
    }
    return runEntry(err);
  }

  /**
   * Runs the command with a settings file, without a command line. The parser of command lines is
   * not loaded, which shortens the start.
   *
   * @param settings the settings file
   * @param err receives errors
   * @return the exit code, once the entry has left
   */
  public int run(File settings, PrintStream err) {
    settingsFile = settings;
    return runEntry(err);
  }

  private int runEntry(PrintStream err) {
    try {
      // Before anything else, since the default action of the signal ends the process.
      HangupSignal.setHandler(this::hangUp);
      SettingsReadResult result = readSettings();
      if (result instanceof SettingsReadResult.Malformed malformed) {
        malformed.problems().forEach(err::println);
        return EXIT_USAGE;
      }
      runUntilLeft(new EntryNode(((SettingsReadResult.Read) result).settings(), platform));
      return EXIT_OK;
    } catch (IOException e) {
      err.println("entry: " + e.getMessage());
      return EXIT_FAILED;
    }
  }

  private void runUntilLeft(EntryNode node) throws IOException {
    CountDownLatch left = new CountDownLatch(1);
    node.start();
    reloadIfHungUp(node);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(node, left), "leave"));
    try {
      left.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void hangUp() {
    if (started.isPresent()) {
      reloadTunables(started.get());
    } else {
      hungUpBeforeStart = true;
    }
  }

  /** Lets later signals reload the settings of a node, and does so for one that came earlier. */
  private synchronized void reloadIfHungUp(EntryNode node) {
    started = Optional.of(node);
    if (hungUpBeforeStart) {
      reloadTunables(node);
    }
  }

  /** Applies the tunables of the settings file; changes of other settings need a restart. */
  private void reloadTunables(EntryNode node) {
    try {
      SettingsReadResult result = readSettings();
      if (result instanceof SettingsReadResult.Read read) {
        node.changeTunableDefaults(read.settings().constants());
        node.events()
            .recordEvent(
                Event.of(EventKind.SETTINGS_READ)
                    .with("constants", read.settings().constants().toString()));
      } else if (result instanceof SettingsReadResult.Malformed malformed) {
        recordRefusedSettings(node, malformed.problems().toString());
      }
    } catch (IOException e) {
      recordRefusedSettings(node, e.toString());
    }
  }

  private static void recordRefusedSettings(EntryNode node, String detail) {
    node.events().recordEvent(Event.of(EventKind.SETTINGS_REFUSED).with("detail", detail));
  }

  private SettingsReadResult readSettings() throws IOException {
    byte[] text = Files.readAllBytes(settingsFile.toPath());
    return new SettingsReader().read(settingsFile.getPath(), text);
  }

  private static void leave(EntryNode node, CountDownLatch left) {
    node.leave().join();
    left.countDown();
  }
}
