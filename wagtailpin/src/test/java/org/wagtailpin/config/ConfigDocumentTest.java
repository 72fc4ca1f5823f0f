package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ConfigDocumentTest {

  private static final ConfigRoute SPLIT =
      new ConfigRoute(
          "split",
          Optional.of("a.example"),
          "/x/",
          Set.of(),
          "one",
          Optional.of(true),
          1_500,
          IdempotencyKeyRule.IGNORED,
          false,
          List.of(new WeightedService("one", 75), new WeightedService("two", 25)),
          Optional.of(2),
          Optional.of(400L),
          3);

  private static ConfigService service(String name) {
    return new ConfigService(
        name,
        true,
        List.of(new RefusalPattern(421, "", ""), new RefusalPattern(503, "X-Refused", "1")),
        Optional.of("/load"),
        Optional.of(40));
  }

  private static ConfigDocument document() {
    return new ConfigDocument(
        "all",
        List.of(
            service("one"),
            service("two"),
            SPLIT,
            new ConfigLimit("callers", Optional.empty(), Map.of(Tunable.CALLER_IDLE_MILLIS, 5e3))));
  }

  @Test
  void aDocumentIsReadAsItWasWritten() {
    ConfigJson json = new ConfigJson();

    ObjectReadResult read = json.read(ConfigKind.DOCUMENT, json.write(document()));

    assertThat(read).isEqualTo(new ObjectReadResult.Read(document()));
  }

  @Test
  void aTicketCannotCarryADocument() {
    assertThat(ConfigKind.DOCUMENT.isAllowedInTickets()).isFalse();
  }

  @Test
  void aLaterDocumentReplacesAllOfTheEarlierOne() {
    MergedConfig merged = new MergedConfig();
    merged.merge(new VersionedObject(document().id(), 5, Optional.of(document())));
    ConfigDocument later = new ConfigDocument("all", List.of(service("three")));
    merged.merge(new VersionedObject(later.id(), 9, Optional.of(later)));
    merged.merge(new VersionedObject(document().id(), 7, Optional.of(document())));

    ConfigSnapshot snapshot = new ConfigSnapshot(1, merged.live());

    assertThat(snapshot.routes()).isEmpty();
    assertThat(snapshot.service("one")).isEmpty();
    assertThat(snapshot.service("three")).isPresent();
  }

  @Test
  void aSplitRouteDividesEvenlySpreadPointsByWeight() {
    int first = 0;
    int points = 1_000;
    for (int i = 0; i < points; i++) {
      if (SPLIT.selectService((double) i / points).service().equals("one")) {
        first++;
      }
    }
    assertThat(first).isEqualTo(750);
  }

  @Test
  void aPartWithZeroWeightIsNeverSelected() {
    ConfigRoute route =
        new ConfigRoute(
            "split",
            Optional.empty(),
            "/",
            Set.of(),
            "one",
            Optional.empty(),
            1,
            IdempotencyKeyRule.IGNORED,
            false,
            List.of(
                new WeightedService("one", 0),
                new WeightedService("two", 5),
                new WeightedService("three", 0)),
            Optional.empty(),
            Optional.empty(),
            0);

    assertThat(route.selectService(0).service()).isEqualTo("two");
    assertThat(route.selectService(0.999_999).service()).isEqualTo("two");
  }

  @Test
  void aServiceLimitsTheConnectionsOfItsServers() {
    ConfigServer server =
        new ConfigServer(
            "s", "10.0.0.1", 80, "r", "d", 2, ConfigServer.UNLIMITED_CONNECTIONS, false);
    ConfigSnapshot snapshot =
        new ConfigSnapshot(
            1, List.of(service("one"), new ConfigServerSet("s", "one", List.of(server))));

    assertThat(snapshot.servers("one").get(0).connections()).isEqualTo(40);
  }
}
