package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ConfigSnapshotTest {

  private static ConfigRoute route(String name, String host, String prefix, String... methods) {
    return new ConfigRoute(
        name,
        Optional.ofNullable(host),
        prefix,
        Set.of(methods),
        "lessons",
        Optional.empty(),
        1000,
        IdempotencyKeyRule.IGNORED,
        false);
  }

  @Test
  void theMostSpecificRouteWins() {
    ConfigSnapshot snapshot =
        new ConfigSnapshot(
            1,
            List.of(
                route("any", null, "/"),
                route("quiz", null, "/quiz"),
                route("hosted", "a.example", "/")));

    assertThat(snapshot.route("b.example", "/quiz/1", "GET").get().name()).isEqualTo("quiz");
    assertThat(snapshot.route("b.example", "/other", "GET").get().name()).isEqualTo("any");
    assertThat(snapshot.route("a.example", "/quiz/1", "GET").get().name()).isEqualTo("hosted");
  }

  @Test
  void aRouteWithMethodsMatchesOnlyThose() {
    ConfigSnapshot snapshot = new ConfigSnapshot(1, List.of(route("read", null, "/", "GET")));

    assertThat(snapshot.route("h", "/x", "GET")).isPresent();
    assertThat(snapshot.route("h", "/x", "POST")).isEmpty();
  }

  @Test
  void onlySafeMethodsAreRepeatableByDefault() {
    ConfigRoute unspecified = route("r", null, "/");

    assertThat(unspecified.mayRepeat("GET")).isTrue();
    assertThat(unspecified.mayRepeat("PUT")).isFalse();
    assertThat(unspecified.mayRepeat("POST")).isFalse();
  }

  @Test
  void aLimitOfTheServicePrecedesTheGlobalLimit() {
    ConfigSnapshot snapshot =
        new ConfigSnapshot(
            1,
            List.of(
                new ConfigLimit("all", Optional.empty(), Map.of(Tunable.MAX_ATTEMPTS, 2.0)),
                new ConfigLimit("own", Optional.of("a"), Map.of(Tunable.MAX_ATTEMPTS, 5.0))));

    assertThat(snapshot.tunable(Tunable.MAX_ATTEMPTS, "a")).isEqualTo(5.0);
    assertThat(snapshot.tunable(Tunable.MAX_ATTEMPTS, "b")).isEqualTo(2.0);
    assertThat(snapshot.tunable(Tunable.RETRY_SHARE, "a")).isEqualTo(0.1);
  }
}
