package org.wagtailpin.tools.explain;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wagtailpin.standins.backend.ServerFaults;
import org.wagtailpin.tools.Console;
import org.wagtailpin.tools.ExitCode;
import org.wagtailpin.tools.ExplainCommand;

class ExplainTest {

  @TempDir private Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int explain(String log, String... words) throws Exception {
    Path file = directory.resolve("entry.log");
    Files.writeString(file, log);
    List<String> arguments = new ArrayList<>(List.of(words));
    arguments.add(file.toString());
    Console console =
        new Console(new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8));
    return new ExplainCommand().run(arguments, console);
  }

  private int explain(LoggedEntry entry) throws Exception {
    String request = entry.endedRequest();
    return explain(entry.log(), request);
  }

  private String shown() {
    return out.toString(UTF_8);
  }

  @Test
  void a503ThatWasNotRunIsExplainedByTheRuleThatRefusedIt() throws Exception {
    try (LoggedEntry entry = new LoggedEntry()) {
      assertThat(entry.call("/bare")).isEqualTo(503);

      assertThat(explain(entry)).isEqualTo(ExitCode.DONE);
    }
    assertThat(shown()).contains("\"event\":\"refused\"");
    assertThat(shown())
        .contains("cause: Status 503: the request was not run; no server was chosen, by the rule");
    assertThat(shown()).contains("no-server");
  }

  @Test
  void a502OfWorkWhoseOutcomeIsUnknownIsExplainedByTheServerThatHadIt() throws Exception {
    try (LoggedEntry entry = new LoggedEntry()) {
      entry.faults(new ServerFaults(1, false, false, false, true, false, false));
      assertThat(entry.call("/x")).isEqualTo(502);

      assertThat(explain(entry)).isEqualTo(ExitCode.DONE);
    }
    assertThat(shown())
        .contains("cause: Status 502: it is not known whether the request ran; server s1");
    assertThat(shown()).contains("it was not sent again by the rule may-have-run");
  }

  @Test
  void aConnectionClosedWithoutAnAnswerIsExplainedByTheAnswerThatBrokeOff() throws Exception {
    try (LoggedEntry entry = new LoggedEntry()) {
      entry.faults(new ServerFaults(1, false, false, false, false, true, false));
      assertThat(entry.call("/x")).isEqualTo(0);

      assertThat(explain(entry)).isEqualTo(ExitCode.DONE);
    }
    assertThat(shown()).contains("cause: The answer had begun and broke off");
  }

  @Test
  void aSuccessNamesItsServer() throws Exception {
    try (LoggedEntry entry = new LoggedEntry()) {
      assertThat(entry.call("/x")).isEqualTo(200);

      explain(entry);
    }
    assertThat(shown()).contains("cause: Server s1 answered with status 200");
  }

  @Test
  void stateThatTheEntrySawIsShownWithTheEvent() throws Exception {
    String log =
        """
        {"time":100,"event":"store-lost","entry":"e1","detail":"x"}
        {"time":150,"event":"server-ejected","entry":"e1","server":"s1"}
        {"time":400,"event":"server-returned","entry":"e1","server":"s1"}
        {"time":200,"event":"admitted","entry":"e1","request":"r1"}
        {"time":210,"event":"placed","entry":"e1","request":"r1","server":"s1"}
        """;

    assertThat(explain(log, "r1")).isEqualTo(ExitCode.DONE);
    assertThat(shown()).contains("store-lost 100 ms before");
    assertThat(shown()).contains("server-ejected s1 60 ms before");
    assertThat(shown()).contains("The log ends before the request did");
  }

  @Test
  void unreadableLinesAreCountedAndNotFatal() throws Exception {
    String log =
        "not a line\n{\"time\":1,\n"
            + "prefix {\"time\":1,\"event\":\"unread\",\"entry\":\"e\",\"request\":\"r\","
            + "\"status\":404,\"step\":\"s\",\"detail\":\"no route matches\"}\n";

    assertThat(explain(log, "r")).isEqualTo(ExitCode.DONE);
    assertThat(err.toString(UTF_8)).contains("2 lines could not be read");
    assertThat(shown()).contains("answered 404 itself");
  }

  @Test
  void anUnknownRequestIsNotDone() throws Exception {
    String log = "{\"time\":5,\"event\":\"entry-started\",\"entry\":\"e1\"}\n";

    assertThat(explain(log, "none")).isEqualTo(ExitCode.NOT_DONE);
    assertThat(shown()).contains("No line of this request");
    assertThat(shown()).contains("entry-started of e1 at 5");
  }

  @Test
  void failuresAreCountedByCauseAndTime() throws Exception {
    StringBuilder log = new StringBuilder();
    for (int i = 0; i < 4; i++) {
      log.append(
          String.format(
              "{\"time\":%d,\"event\":\"ended\",\"entry\":\"e\",\"request\":\"r%d\","
                  + "\"outcome\":\"not-run\",\"status\":503,\"step\":\"pick-server\","
                  + "\"detail\":\"not run: no-server\"}%n",
              i * 9_000, i));
    }

    assertThat(explain(log.toString(), "--summary")).isEqualTo(ExitCode.DONE);
    assertThat(shown()).contains("4  not-run 503 at pick-server (no-server)");
    assertThat(shown()).contains("1970-01-01T00:00:00Z  2");
    assertThat(shown()).contains("1970-01-01T00:00:20Z  1");
  }

  /** A log whose lines are generated while it is read. */
  private static final class GeneratedLog extends Reader {
    private static final String LINE =
        "{\"time\":1,\"event\":\"ended\",\"entry\":\"e\",\"request\":\"r\","
            + "\"outcome\":\"answered\",\"status\":200}\n";
    private long remainingLines;
    private StringReader line = new StringReader("");

    GeneratedLog(long lines) {
      remainingLines = lines;
    }

    @Override
    public int read(char[] buffer, int offset, int length) throws java.io.IOException {
      int read = line.read(buffer, offset, length);
      if (read < 0 && remainingLines > 0) {
        remainingLines--;
        line = new StringReader(LINE);
        read = line.read(buffer, offset, length);
      }
      return read;
    }

    @Override
    public void close() {}
  }

  @Test
  void aLongLogIsReadWithMemoryThatDoesNotGrow() throws Exception {
    LogExplanation explanation = LogExplanation.ofRequest("r");
    explanation.read(new BufferedReader(new GeneratedLog(200_000)));

    // The limit: 1000 events with two lines each, and the cause.
    assertThat(explanation.lines().size()).isAtMost(2_001);
  }
}
