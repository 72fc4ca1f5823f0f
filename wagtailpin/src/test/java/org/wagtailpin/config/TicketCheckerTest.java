package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;
import static org.wagtailpin.config.ConfigExamples.at;
import static org.wagtailpin.config.ConfigExamples.route;
import static org.wagtailpin.config.ConfigExamples.serverSet;
import static org.wagtailpin.config.ConfigExamples.service;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TicketCheckerTest {

  private static List<TicketProblem> problems(ConfigObject... objects) {
    return new TicketChecker()
        .check(new Ticket(9, List.of(objects), List.of()), new MergedConfig());
  }

  private static ConfigServer server(String name, String address, int slots, int connections) {
    return new ConfigServer(name, address, 80, "r", "d", slots, connections, false);
  }

  @Test
  void theExamplesOfAllKindsAreConsistent() {
    ConfigServerSet set =
        serverSet("orders", "orders", server("a", "10.0.0.1", 2, 9), server("b", "10.0.0.2", 2, 9));
    assertThat(
            problems(
                service("orders"),
                route("orders", "orders"),
                set,
                ConfigExamples.link(),
                ConfigExamples.limit("orders", "orders"),
                ConfigExamples.group()))
        .isEmpty();
  }

  @Test
  void aDanglingReferenceIsReportedForEachKind() {
    assertThat(problems(route("r", "x"))).hasSize(1);
    assertThat(problems(serverSet("s", "x"))).hasSize(1);
    assertThat(problems(ConfigExamples.limit("l", "x"))).hasSize(1);
  }

  @Test
  void aServerIsUniqueOverAllSets() {
    List<TicketProblem> problems =
        problems(
            service("a"),
            serverSet("one", "a", server("x", "10.0.0.1", 1, 1)),
            serverSet("two", "a", server("x", "10.0.0.2", 1, 1)));
    assertThat(problems)
        .containsExactly(
            new TicketProblem(
                new ObjectId(ConfigKind.SERVER_SET, "two"),
                "servers",
                "server x, which serverSet/one has",
                "one owner of it"));
    assertThat(
            problems(
                service("a"),
                serverSet("s", "a", ConfigExamples.server("x"), ConfigExamples.server("y"))))
        .hasSize(1);
  }

  @Test
  void fewerConnectionsThanSlotsAreRefused() {
    assertThat(problems(service("a"), serverSet("s", "a", server("x", "10.0.0.1", 3, 2))))
        .hasSize(1);
  }

  @Test
  void twoRoutesWithTheSameMatchAreRefused() {
    assertThat(problems(service("a"), route("r1", "a"), route("r2", "a"))).hasSize(1);
  }

  @Test
  void linksJoinTwoRegionsOnce() {
    assertThat(problems(new ConfigLink("l", "r", "r", 1, 1, 0))).hasSize(1);
    assertThat(
            problems(
                new ConfigLink("l1", "r", "s", 1, 1, 0), new ConfigLink("l2", "s", "r", 1, 1, 0)))
        .hasSize(1);
    assertThat(problems(new ConfigLink("l", "r", "s", 1, 0, 5))).hasSize(1);
  }

  @Test
  void aTunableHasOneValueWithinItsRange() {
    ConfigLimit one = new ConfigLimit("1", Optional.empty(), Map.of(Tunable.MAX_ATTEMPTS, 2.0));
    ConfigLimit two = new ConfigLimit("2", Optional.empty(), Map.of(Tunable.MAX_ATTEMPTS, 3.0));
    ConfigLimit wide = new ConfigLimit("3", Optional.empty(), Map.of(Tunable.RETRY_SHARE, 1.1));
    ConfigLimit none =
        new ConfigLimit("4", Optional.empty(), Map.of(Tunable.RETRY_SHARE, Double.NaN));

    assertThat(problems(one, two)).hasSize(1);
    assertThat(problems(wide)).hasSize(1);
    assertThat(problems(none)).hasSize(1);
  }

  @Test
  void anAddressBlockBelongsToOneGroup() {
    assertThat(
            problems(
                new ConfigCallerGroup("a", 1, List.of("10.0.0.0/8")),
                new ConfigCallerGroup("b", 1, List.of("10.0.0.0/8"))))
        .hasSize(1);
  }

  @Test
  void anInconsistentStateCanBeCorrectedStepByStep() {
    MergedConfig inconsistent = new MergedConfig();
    inconsistent.merge(at(1, route("r", "x")));
    inconsistent.merge(at(2, serverSet("s", "y")));
    Ticket correctsOne = new Ticket(3, List.of(service("x")), List.of());
    Ticket addsAnother = new Ticket(4, List.of(ConfigExamples.limit("l", "z")), List.of());

    assertThat(new TicketChecker().check(correctsOne, inconsistent)).isEmpty();
    assertThat(new TicketChecker().check(addsAnother, inconsistent)).hasSize(1);
  }
}
