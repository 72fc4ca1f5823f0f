package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.Tunable;

class ProbeRoundsTest {

  private static final double SLOW_FACTOR = 7;

  private final Map<String, LoadReport> loads = new HashMap<>();
  private final List<String> probed = new ArrayList<>();
  private final List<Consumer<ProbeAnswer>> pendingProbes = new ArrayList<>();
  private boolean unresponsive;
  private final PlacementFixture fixture = new PlacementFixture().withLoadProbe();

  private void probe(ConfigServer server, String path, Consumer<ProbeAnswer> done) {
    probed.add(server.name());
    if (unresponsive) {
      pendingProbes.add(done);
    } else {
      done.accept(
          new ProbeAnswer(
              Optional.ofNullable(loads.get(server.name())), new LimitStatement.Unlimited()));
    }
  }

  private QueueingPlacement placement() {
    fixture
        .tune(Tunable.CANDIDATES, 100)
        .tune(Tunable.FAR_CANDIDATES, 100)
        .tune(Tunable.PROBES_PER_ROUND, 2)
        .tune(Tunable.PROBE_MILLIS, 50)
        .tune(Tunable.SERVER_PROBES_PER_SECOND, 1_000)
        .publish();
    return fixture.placement(PlacementFixture.SEED, PlacementObserver.none(), this::probe);
  }

  private Optional<Grant> place(QueueingPlacement placement) {
    List<Grant> grants = new ArrayList<>();
    placement.request(
        fixture.call(5_000),
        AttemptHistory.none(),
        new PlacementListener() {
          @Override
          public void granted(Grant grant) {
            grants.add(grant);
          }

          @Override
          public void refused(Refusal refusal) {}
        });
    return grants.stream().findFirst();
  }

  /** Finishes one call with a load report, from which on the servers are probed. */
  private void reportLoadOnce(QueueingPlacement placement) {
    place(placement)
        .orElseThrow()
        .finished(PlacementFixture.answered(10, new LoadReport(0, 0, false, 1)));
    fixture.loop.advance(10_000);
    probed.clear();
  }

  @Test
  void theFirstCallIsPlacedByProbesAsWell() {
    fixture.servers(4, 6);
    for (int i = 0; i < 4; i++) {
      loads.put("s" + i, new LoadReport(0, 0, false, SLOW_FACTOR));
    }
    loads.put("s2", new LoadReport(0, 0, false, 1));

    assertThat(place(placement()).orElseThrow().server().name()).isEqualTo("s2");
  }

  @Test
  void serversThatAnswerWithoutAReportAreNotProbedAgain() {
    fixture.servers(4, 6);
    QueueingPlacement placement = placement();
    Grant first = place(placement).orElseThrow();
    first.finished(PlacementFixture.answered(10));
    fixture.loop.advance(10_000);
    probed.clear();

    assertThat(place(placement)).isPresent();
    assertThat(probed).isEmpty();
  }

  @Test
  void serversAreProbedUntilOneIsFreeAndFast() {
    fixture.servers(4, 6);
    QueueingPlacement placement = placement();
    reportLoadOnce(placement);
    for (int i = 0; i < 4; i++) {
      loads.put("s" + i, new LoadReport(0, 0, false, SLOW_FACTOR));
    }
    loads.put("s2", new LoadReport(0, 0, false, 1));

    assertThat(place(placement).orElseThrow().server().name()).isEqualTo("s2");
    assertThat(probed).containsNoDuplicates();
  }

  @Test
  void anotherRegionIsProbedAndUsedWhenAllNearServersAreSlow() {
    fixture.server("near", "north", "n1", 6).server("far", "south", "s1", 6);
    fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "short", 140);
    QueueingPlacement placement = placement();
    reportLoadOnce(placement);
    loads.put("near", new LoadReport(0, 0, false, SLOW_FACTOR));
    loads.put("far", new LoadReport(0, 0, false, 1));

    assertThat(place(placement).orElseThrow().server().name()).isEqualTo("far");
  }

  @Test
  void workWithLargeBodiesStaysNearerThanWorkWithSmallBodies() {
    fixture
        .server("near", "north", "n1", 6)
        .server("far", "south", "s1", 6)
        .tune(Tunable.REGION_MILLIS_PER_KIB, 20);
    fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "short", 140);
    QueueingPlacement placement = placement();
    reportLoadOnce(placement);
    loads.put("near", new LoadReport(0, 0, false, 2));
    loads.put("far", new LoadReport(0, 0, false, 1));
    assertThat(place(placement).orElseThrow().server().name()).isEqualTo("far");

    fixture.loop.advance(10_000);
    for (int i = 0; i < 100; i++) {
      fixture.statistics.recordBytes("short", 50_000);
    }
    assertThat(place(placement).orElseThrow().server().name()).isEqualTo("near");
  }

  @Test
  void aFreshReportMakesAProbeUnnecessary() {
    fixture.servers(1, 6);
    QueueingPlacement placement = placement();
    reportLoadOnce(placement);
    loads.put("s0", new LoadReport(0, 0, false, 1));
    place(placement);
    probed.clear();

    place(placement);

    assertThat(probed).isEmpty();
  }

  @Test
  void unresponsiveServersDelayACallNoLongerThanItsProbeTime() {
    fixture.servers(3, 6);
    QueueingPlacement placement = placement();
    reportLoadOnce(placement);
    unresponsive = true;
    List<Grant> grants = new ArrayList<>();
    placement.request(
        fixture.call(5_000),
        AttemptHistory.none(),
        new PlacementListener() {
          @Override
          public void granted(Grant grant) {
            grants.add(grant);
          }

          @Override
          public void refused(Refusal refusal) {}
        });
    assertThat(grants).isEmpty();

    fixture.loop.advance(51);

    assertThat(grants).hasSize(1);
    pendingProbes.forEach(done -> done.accept(ProbeAnswer.none()));
    assertThat(grants).hasSize(1);
  }

  @Test
  void probesStayWithinTheirRate() {
    fixture.servers(2, 6).tune(Tunable.SERVER_PROBES_PER_SECOND, 3);
    QueueingPlacement placement = placement();
    reportLoadOnce(placement);
    for (int i = 0; i < 50; i++) {
      place(placement).ifPresent(grant -> grant.finished(PlacementFixture.answered(1)));
      fixture.loop.advance(60);
    }

    // 3 s at 3 probes per second to each of 2 servers, and a burst of 1 s.
    assertThat(probed.size()).isAtMost(24);
  }
}
