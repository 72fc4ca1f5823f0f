package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.json.JsonProblem;

class ConfigJsonTest {

  private final ConfigJson json = new ConfigJson();

  private List<JsonProblem> problemsOf(ConfigKind kind, String text) {
    ObjectReadResult result = json.read(kind, text.getBytes(UTF_8));
    assertThat(result).isInstanceOf(ObjectReadResult.Malformed.class);
    return ((ObjectReadResult.Malformed) result).problems();
  }

  @Test
  void anObjectOfEachKindIsReadAsItWasWritten() {
    for (ConfigObject object : ConfigExamples.all()) {
      ObjectReadResult result = json.read(object.kind(), json.write(object));

      assertThat(result).isEqualTo(new ObjectReadResult.Read(object));
    }
    assertThat(ConfigExamples.all().stream().map(ConfigObject::kind).distinct().count())
        .isEqualTo(
            List.of(ConfigKind.values()).stream().filter(ConfigKind::isAllowedInTickets).count());
  }

  @Test
  void anUnknownKeyIsReportedWithItsPositionAndTheKnownKeys() {
    List<JsonProblem> problems =
        problemsOf(ConfigKind.SERVICE, "{\n  \"name\": \"a\",\n  \"echoAttempt\": true\n}");

    assertThat(problems).hasSize(1);
    assertThat(problems.get(0).toString())
        .isEqualTo(
            "object:3:3: key echoAttempt: found an unknown key,"
                + " expected one of kind, name, echoesAttempt, refusals, probePath");
  }

  @Test
  void allProblemsOfAnObjectAreReported() {
    List<JsonProblem> problems =
        problemsOf(
            ConfigKind.SERVER_SET,
            """
            {"name": "a b", "service": "s",
             "servers": [{"name": "x", "address": "host.example", "port": 0, "region": "r",
                          "failureDomain": "d", "slots": 1.5, "connections": "many",
                          "leaving": 1}]}""");

    assertThat(problems.stream().map(JsonProblem::key))
        .containsExactly(
            "name",
            "servers[0].address",
            "servers[0].port",
            "servers[0].slots",
            "servers[0].connections",
            "servers[0].leaving");
  }

  @Test
  void aMissingKeyIsReportedAtItsObject() {
    List<JsonProblem> problems =
        problemsOf(ConfigKind.ROUTE, "{\"name\": \"a\", \"service\": \"s\"}");

    assertThat(problems).hasSize(1);
    assertThat(problems.get(0).key()).isEqualTo("deadlineMillis");
    assertThat(problems.get(0).found()).isEqualTo("nothing");
  }

  @Test
  void aValueOutsideTheRangeOfItsTunableIsAProblem() {
    List<JsonProblem> problems =
        problemsOf(ConfigKind.LIMIT, "{\"name\": \"a\", \"values\": {\"retryShare\": 1.5}}");

    assertThat(problems).hasSize(1);
    assertThat(problems.get(0).toString())
        .isEqualTo("object:1:40: key values.retryShare: found 1.5, expected a number from 0 to 1");
  }

  @Test
  void aHugeExponentIsRefusedWithoutExpandingTheNumber() {
    List<JsonProblem> problems =
        problemsOf(
            ConfigKind.ROUTE,
            "{\"name\": \"a\", \"service\": \"s\", \"deadlineMillis\": 1e999999999}");

    assertThat(problems).hasSize(1);
    assertThat(problems.get(0).expected()).isEqualTo("a whole number from 1 to 3600000");
  }

  @Test
  void anExponentBeyondTheSupportedRangeIsAProblem() {
    List<JsonProblem> problems =
        problemsOf(ConfigKind.ROUTE, "{\"deadlineMillis\": 1e400500000000}");

    assertThat(problems).hasSize(1);
    assertThat(problems.get(0).found()).isEqualTo("a number that is too large");
  }

  @Test
  void aDuplicateKeyIsAProblem() {
    assertThat(problemsOf(ConfigKind.SERVICE, "{\"name\": \"a\", \"name\": \"b\"}")).hasSize(1);
  }

  @Test
  void anObjectOfAnotherKindIsAProblem() {
    List<JsonProblem> problems =
        problemsOf(ConfigKind.SERVICE, "{\"kind\": \"route\", \"name\": \"a\"}");

    assertThat(problems.get(0).expected()).isEqualTo("service");
  }
}
