package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.wagtailpin.json.JsonProblem;

/**
 * Fuzz tests with seeded mutations of valid texts: readers must return a result for any input and
 * never throw.
 */
class ReaderFuzzTest {

  private static final long SEED = 55;
  private static final int INPUTS = 20_000;
  private static final String[] TOKENS = {
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "null",
    "true",
    "-1",
    "1e400",
    "0.5",
    "//",
    "/*",
    "\\u0000",
    "\"kind\"",
    "\"ticket\": 1",
    "9999999999999999999",
    "\u00e4",
    "\n"
  };

  private final UniformRandomProvider random = SharedStateFixture.random(SEED);
  private int wellFormed;

  private static byte[] ticketText() {
    StringBuilder text = new StringBuilder("{\"ticket\": 7, // numbered\n \"objects\": [");
    ConfigJson json = new ConfigJson();
    for (ConfigObject object : ConfigExamples.all()) {
      text.append(new String(json.write(object), UTF_8)).append(",\n");
    }
    text.append("], \"removals\": [{\"kind\": \"route\", \"name\": \"old\"}]}");
    return text.toString().getBytes(UTF_8);
  }

  private byte[] mutated(byte[] text) {
    byte[] now = text;
    int changes = 1 + random.nextInt(4);
    for (int i = 0; i < changes; i++) {
      now = mutatedOnce(now);
    }
    return now;
  }

  private byte[] mutatedOnce(byte[] text) {
    int at = random.nextInt(text.length + 1);
    int end = Math.min(text.length, at + random.nextInt(1 + random.nextInt(40)));
    byte[] insertion =
        switch (random.nextInt(4)) {
          case 0 -> new byte[0];
          case 1 -> TOKENS[random.nextInt(TOKENS.length)].getBytes(UTF_8);
          case 2 -> new byte[] {(byte) random.nextInt(256)};
          default -> Arrays.copyOfRange(text, at, end);
        };
    byte[] spliced = new byte[at + insertion.length + text.length - end];
    System.arraycopy(text, 0, spliced, 0, at);
    System.arraycopy(insertion, 0, spliced, at, insertion.length);
    System.arraycopy(text, end, spliced, at + insertion.length, text.length - end);
    return spliced;
  }

  @Test
  void anyTextGivesATicketOrProblemsWithPositions() {
    byte[] good = ticketText();
    assertThat(new TicketReader().read("t", good)).isInstanceOf(TicketReadResult.Read.class);
    for (int input = 0; input < INPUTS; input++) {
      byte[] text = mutated(good);
      TicketReadResult result = new TicketReader().read("t", text);
      if (result instanceof TicketReadResult.Read read) {
        wellFormed++;
        assertThat(read.ticket().number()).isAtLeast(1);
      } else {
        checkProblems(input, ((TicketReadResult.Malformed) result).problems());
      }
    }
    report("tickets");
  }

  private static void checkProblems(int input, List<JsonProblem> problems) {
    assertWithMessage("seed %s input %s", SEED, input).that(problems).isNotEmpty();
    for (JsonProblem problem : problems) {
      assertThat(problem.position().line()).isAtLeast(1);
      assertThat(problem.position().column()).isAtLeast(1);
      assertThat(problem.expected()).isNotEmpty();
    }
  }

  @Test
  void anyObjectThatIsReadSurvivesARoundTrip() {
    ConfigJson json = new ConfigJson();
    for (int input = 0; input < INPUTS; input++) {
      ConfigObject object = ConfigExamples.all().get(input % ConfigExamples.all().size());
      ObjectReadResult result = json.read(object.kind(), mutated(json.write(object)));
      if (result instanceof ObjectReadResult.Read read) {
        wellFormed++;
        assertWithMessage("seed %s input %s", SEED, input)
            .that(json.read(object.kind(), json.write(read.object())))
            .isEqualTo(read);
      } else {
        checkProblems(input, ((ObjectReadResult.Malformed) result).problems());
      }
    }
    report("objects");
  }

  @Test
  void anyBytesGiveAStateOrAReason() throws IOException {
    ConfigState state = ConfigState.empty();
    state.apply(new Ticket(3, ConfigExamples.all(), List.of()), "attempt");
    byte[] bytes = new ConfigStateCodec().write(state);
    byte[] text = new GZIPInputStream(new ByteArrayInputStream(bytes)).readAllBytes();
    for (int input = 0; input < INPUTS; input++) {
      byte[] mutant = input % 2 == 0 ? mutated(bytes) : compressed(mutated(text));
      ConfigStateReadResult result = new ConfigStateCodec().read(mutant);
      if (result instanceof ConfigStateReadResult.Unreadable unreadable) {
        assertWithMessage("seed %s input %s", SEED, input).that(unreadable.detail()).isNotEmpty();
      } else {
        wellFormed++;
      }
    }
    report("states");
  }

  private static byte[] compressed(byte[] text) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
      out.write(text);
    }
    return bytes.toByteArray();
  }

  private void report(String what) {
    System.out.printf(
        "seed %d: %d mutated %s tried, %d of them well formed%n", SEED, INPUTS, what, wellFormed);
    // If no mutation were well-formed, the typed readers would not be exercised.
    assertThat(wellFormed).isGreaterThan(INPUTS / 100);
  }
}
