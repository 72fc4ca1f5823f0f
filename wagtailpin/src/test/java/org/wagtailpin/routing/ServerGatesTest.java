package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigSnapshot;

class ServerGatesTest {

  private static final ConfigServer CONFIG =
      new ConfigServer("s0", "10.0.0.1", 80, "north", "n1", 3, 240, false);

  private final ServerState server = new ServerState(CONFIG, 0, Long.MIN_VALUE / 2);
  private final ServiceState service =
      new ServiceState(
          "lessons",
          new ServiceView(
              List.of(server),
              List.of(),
              new RoutingSettings(ConfigSnapshot.empty(), "lessons"),
              Optional.empty()));

  /** Returns a gate that stays closed for a time and counts nothing. */
  private static ServerGate closed(ServerGate.Kind closedKind, double millis) {
    return new ServerGate() {
      @Override
      public Kind kind() {
        return closedKind;
      }

      @Override
      public double millisUntilOpen(ServiceState service, ServerState server, double nowMillis) {
        return millis;
      }
    };
  }

  @Test
  void gatesOfAKindAreOpenOnceTheLastOneIs() {
    ServerGates gates =
        new ServerGates(
            List.of(
                closed(ServerGate.Kind.PACE, 0),
                closed(ServerGate.Kind.PACE, 30),
                closed(ServerGate.Kind.PACE, 20)));

    assertThat(gates.isOpen(ServerGate.Kind.PACE, service, server, 0)).isFalse();
    assertThat(gates.isOpen(ServerGate.Kind.HEALTH, service, server, 0)).isTrue();
    assertThat(gates.millisUntilOpen(ServerGate.Kind.PACE, service, server, 0)).isEqualTo(30);
  }

  // Guards against probes of a server that takes no work, and against none of one that is only
  // unhealthy or slow to take work.
  @Test
  void onlyAServerThatTakesNoWorkIsNotProbed() {
    Map<ServerGate.Kind, Boolean> expected =
        Map.of(
            ServerGate.Kind.AVAILABILITY, false,
            ServerGate.Kind.HEALTH, true,
            ServerGate.Kind.PACE, true);
    expected.forEach(
        (kind, allowed) ->
            assertThat(new ServerGates(List.of(closed(kind, 1))).allowsProbe(service, server, 0))
                .isEqualTo(allowed));
  }

  @Test
  void aPauseAfterARefusalOpensAtItsEnd() {
    server.health().recordRefusal(1_000, 10);

    RefusalPauseGate gate = new RefusalPauseGate();

    assertThat(gate.millisUntilOpen(service, server, 1_004)).isEqualTo(6);
    assertThat(gate.millisUntilOpen(service, server, 1_010)).isEqualTo(0);
  }

  @Test
  void anEjectedServerOpensAtTheEndOfItsEjection() {
    EjectionGate gate = new EjectionGate();
    assertThat(gate.millisUntilOpen(service, server, 1_000)).isEqualTo(0);

    server.health().eject(3_000);

    assertThat(gate.millisUntilOpen(service, server, 1_000)).isEqualTo(2_000);
  }

  @Test
  void aLeavingHostStaysClosedUntilTheHostListChanges() {
    LeavingHosts hosts = new LeavingHosts();
    LeavingGate gate = new LeavingGate(hosts);
    assertThat(gate.millisUntilOpen(service, server, 0)).isEqualTo(0);

    hosts.publish(Set.of(CONFIG.address()));

    assertThat(gate.millisUntilOpen(service, server, 0)).isEqualTo(ServerGate.UNKNOWN_MILLIS);
  }
}
