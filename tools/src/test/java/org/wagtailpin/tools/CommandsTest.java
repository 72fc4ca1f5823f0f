package org.wagtailpin.tools;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.config.StoreConfigWatcher;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.operator.AdminListener;
import org.wagtailpin.operator.ConfigPage;
import org.wagtailpin.standins.store.StoreStandIn;
import org.wagtailpin.store.HttpStore;
import org.wagtailpin.store.StoreHttpClient;
import org.wagtailpin.store.StoreTimeouts;
import org.wagtailpin.store.memory.StoreFaults;

class CommandsTest {

  private static final String SERVICE_TICKET =
      """
      {
        "ticket": 1, // the first
        "objects": [
          {"kind": "service", "name": "lessons"},
          {"kind": "serverSet", "name": "lessons", "service": "lessons", "servers": [
            {"name": "lessons-1", "address": "10.0.0.1", "port": 80, "region": "tunis",
             "failureDomain": "tunis-1", "slots": 6, "connections": 240},
            {"name": "lessons-2", "address": "10.0.0.2", "port": 80, "region": "tunis",
             "failureDomain": "tunis-2", "slots": 6, "connections": 240}
          ]}
        ]
      }
      """;

  @TempDir private Path directory;

  private final InetSocketAddress anyPort =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private final StoreStandIn standIn = new StoreStandIn(anyPort, 1);
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final List<AutoCloseable> opened = new ArrayList<>();

  @BeforeEach
  void start() {
    standIn.start();
  }

  @AfterEach
  void stop() throws Exception {
    for (AutoCloseable each : opened) {
      each.close();
    }
    standIn.close();
  }

  private int run(String... words) {
    out.reset();
    err.reset();
    Console console =
        new Console(new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8));
    return new Launcher(Launcher.builtInCommands(), console).run(List.of(words));
  }

  private String file(String name, String text) throws IOException {
    Path file = directory.resolve(name);
    Files.writeString(file, text);
    return file.toString();
  }

  private String store() {
    return standIn.address().toString();
  }

  /** Starts the parts of an entry that follow the configuration; returns the admin address. */
  private String entry() {
    ThreadControlLoop loop = new ThreadControlLoop("entry");
    StoreTimeouts timeouts = StoreTimeouts.defaults();
    StoreHttpClient http = new StoreHttpClient(timeouts);
    ConfigMerger merger =
        new ConfigMerger(new SystemClock(), new MergedConfig(), new PublishedConfig());
    StoreConfigWatcher watcher =
        new StoreConfigWatcher(
            new HttpStore(http.client(), standIn.address(), "entry", timeouts),
            loop,
            merger,
            RandomSource.XO_RO_SHI_RO_128_PP.create(2));
    loop.execute(watcher::start);
    AdminListener admin = new AdminListener(anyPort, List.of(new ConfigPage(merger::report)));
    admin.start();
    opened.addAll(List.of(admin, loop, http));
    return "127.0.0.1:" + admin.address().getPort();
  }

  @Test
  void everyCommandHasHelp() {
    assertThat(run("--help")).isEqualTo(ExitCode.DONE);
    for (Command command : Launcher.builtInCommands()) {
      assertThat(out.toString(UTF_8)).contains(command.name());
    }
    for (Command command : Launcher.builtInCommands()) {
      assertThat(run(command.name(), "--help")).isEqualTo(ExitCode.DONE);
      assertThat(out.toString(UTF_8)).contains("usage: wagtailpin " + command.name());
      assertThat(run(command.name(), "--no-such-option")).isEqualTo(ExitCode.USAGE);
      assertThat(err.toString(UTF_8)).contains("--no-such-option");
    }
    assertThat(run("no-such-command")).isEqualTo(ExitCode.USAGE);
    assertThat(run()).isEqualTo(ExitCode.USAGE);
  }

  @Test
  void aProblemInATicketIsPrintedWithItsPosition() throws IOException {
    String file = file("bad.json", "{\"ticket\": 1,\n \"objects\": [{\"kind\": \"servce\"}]}");

    assertThat(run("check", file)).isEqualTo(ExitCode.NOT_DONE);
    assertThat(err.toString(UTF_8))
        .isEqualTo(
            file
                + ":2:23: key objects[0].kind: found \"servce\", expected one of"
                + " service, route, serverSet, link, limit, callerGroup\n");
    assertThat(run("apply", file, "--store", store())).isEqualTo(ExitCode.NOT_DONE);
    assertThat(run("check", directory.resolve("none").toString())).isEqualTo(ExitCode.NOT_DONE);
  }

  @Test
  void referencesBetweenTicketsAreCheckedOnRequest() throws IOException {
    String good = file("1.json", SERVICE_TICKET);
    String dangling =
        file(
            "2.json",
            "{\"ticket\": 2, \"objects\": [{\"kind\": \"route\", \"name\": \"r\","
                + " \"service\": \"nowhere\", \"deadlineMillis\": 100}]}");

    assertThat(run("check", good, dangling)).isEqualTo(ExitCode.DONE);
    assertThat(run("check", "--whole", good, dangling)).isEqualTo(ExitCode.NOT_DONE);
    assertThat(err.toString(UTF_8))
        .isEqualTo(
            dangling
                + ":1:27: key route/r service: found nowhere, expected the name of a service\n");
    assertThat(run("apply", good, dangling, "--store", store())).isEqualTo(ExitCode.NOT_DONE);
    assertThat(out.toString(UTF_8)).isEqualTo("ticket 1: accepted\n");
    assertThat(err.toString(UTF_8)).contains("ticket 2: not accepted, nothing changed");
  }

  @Test
  void anAppliedTicketIsSeenInForceAtAnEntry() throws IOException {
    String entry = entry();
    String file = file("1.json", SERVICE_TICKET);

    assertThat(run("apply", file, "--store", store(), "--wait", "--entries", entry))
        .isEqualTo(ExitCode.DONE);
    assertThat(out.toString(UTF_8)).contains(entry + ": ticket 1 in force");
    assertThat(run("status", "--store", store(), "--entries", entry)).isEqualTo(ExitCode.DONE);
    assertThat(out.toString(UTF_8)).contains(entry + ": in force: digest");

    assertThat(run("apply", file, "--store", store())).isEqualTo(ExitCode.DONE);
    assertThat(out.toString(UTF_8)).contains("accepted before with the same content");
  }

  @Test
  void anEntryThatDoesNotAnswerIsNamed() throws IOException {
    String file = file("1.json", SERVICE_TICKET);

    int code =
        run(
            "apply",
            file,
            "--store",
            store(),
            "--wait",
            "--entries",
            "127.0.0.1:1",
            "--wait-millis",
            "100");

    assertThat(code).isEqualTo(ExitCode.NOT_DONE);
    assertThat(err.toString(UTF_8)).contains("127.0.0.1:1: not known");
    assertThat(err.toString(UTF_8)).contains("ticket 1 is accepted but was not seen in force");
    assertThat(run("status", "--store", store(), "--entries", "127.0.0.1:1"))
        .isEqualTo(ExitCode.NOT_DONE);
  }

  @Test
  void theSameNumberWithOtherContentIsRefused() throws IOException {
    run("apply", file("1.json", SERVICE_TICKET), "--store", store());
    String other =
        file(
            "other.json",
            "{\"ticket\": 1, \"objects\": [{\"kind\": \"service\"," + " \"name\": \"other\"}]}");

    assertThat(run("apply", other, "--store", store())).isEqualTo(ExitCode.NOT_DONE);
    assertThat(err.toString(UTF_8)).contains("the number was accepted with content");
  }

  @Test
  void anOutcomeThatStaysUnknownHasItsOwnCodeAndTheCommandThatSettlesIt() throws IOException {
    String file = file("1.json", SERVICE_TICKET);
    standIn.changeFaults(StoreFaults.builder().lostWriteAnswers(1).build());

    assertThat(run("apply", file, "--store", store(), "--patience-millis", "10"))
        .isEqualTo(ExitCode.UNKNOWN);
    assertThat(err.toString(UTF_8)).contains("ticket 1: outcome unknown");
    String settle = "bin/wagtailpin apply " + file + " --store " + store();
    assertThat(err.toString(UTF_8)).contains("settle it with: " + settle);

    standIn.changeFaults(StoreFaults.none());
    assertThat(run("apply", file, "--store", store())).isEqualTo(ExitCode.DONE);
    assertThat(out.toString(UTF_8)).contains("accepted before with the same content");
  }

  @Test
  void aStoreThatDoesNotListenLeavesATicketNotAccepted() throws IOException {
    standIn.stop();
    String file = file("1.json", SERVICE_TICKET);

    assertThat(run("apply", file, "--store", store(), "--patience-millis", "50"))
        .isEqualTo(ExitCode.NOT_DONE);
    assertThat(err.toString(UTF_8)).contains("not accepted, nothing changed");
    assertThat(run("drain", "lessons-1", "--store", store())).isEqualTo(ExitCode.NOT_DONE);
    assertThat(run("status", "--store", store())).isEqualTo(ExitCode.NOT_DONE);
  }

  @Test
  void aDrainedServerIsLeavingAndTheOthersAreNot() throws IOException {
    String entry = entry();
    run("apply", file("1.json", SERVICE_TICKET), "--store", store());

    int code = run("drain", "lessons-2", "--store", store(), "--wait", "--entries", entry);

    assertThat(code).isEqualTo(ExitCode.DONE);
    assertThat(out.toString(UTF_8)).contains("ticket 2: accepted");
    assertThat(run("drain", "lessons-2", "--store", store())).isEqualTo(ExitCode.DONE);
    assertThat(out.toString(UTF_8)).contains("lessons-2: leaving since ticket 2");
    assertThat(run("drain", "lessons-9", "--store", store())).isEqualTo(ExitCode.NOT_DONE);
    assertThat(run("drain", "lessons-1", "--store", "nowhere")).isEqualTo(ExitCode.USAGE);
  }
}
