package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.ConfigEvacuation;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.region.AllowedRegions;

/** Tests that calls run only in allowed regions and outside evacuated failure domains. */
class AllowedRegionsTest {

  private static final long DEADLINE_MILLIS = 60_000;

  private final PlacementFixture fixture =
      new PlacementFixture()
          .server("north-1", "north", "n1", 1)
          .server("north-2", "north", "n2", 1)
          .server("south-1", "south", "s1", 1)
          .publish();

  private CallDescriptor call(String... regions) {
    CallDescriptor any = fixture.call(DEADLINE_MILLIS);
    return new CallDescriptor(
        any.requestId(),
        any.route(),
        any.repeatable(),
        any.callerGroup(),
        any.depth(),
        any.deadlineMillis(),
        Optional.empty(),
        AllowedRegions.ofList(List.of(regions)));
  }

  private RecordingListener request(Placement placement, CallDescriptor call) {
    return request(placement, call, AttemptHistory.none());
  }

  private RecordingListener request(
      Placement placement, CallDescriptor call, AttemptHistory history) {
    RecordingListener listener = new RecordingListener();
    placement.request(call, history, listener);
    fixture.loop.advance(5);
    return listener;
  }

  private void evacuate(String... domains) {
    fixture.extraObjects.removeIf(object -> object instanceof ConfigEvacuation);
    for (String domain : domains) {
      fixture.extraObjects.add(new ConfigEvacuation(domain));
    }
    fixture.publish();
  }

  @Test
  void aCallRunsOnlyInItsRegionsAlsoWhenAnotherIsNearerAndFree() {
    QueueingPlacement placement = fixture.placement();

    assertThat(request(placement, call("south")).server()).isEqualTo("south-1");
    RecordingListener second = request(placement, call("south"));
    assertThat(second.undecided()).isTrue();
  }

  @Test
  void aRetryStaysInItsRegions() {
    QueueingPlacement placement = fixture.placement();

    RecordingListener retry =
        request(placement, call("south"), AttemptHistory.none().with("south-1"));

    assertThat(retry.server()).isEqualTo("south-1");
  }

  /** Guards against a call that waits for regions in which nothing can run it. */
  @Test
  void aCallWithoutAServerInItsRegionsIsRefusedAtOnce() {
    QueueingPlacement placement = fixture.placement();
    AllowedRegions none =
        AllowedRegions.ofList(List.of("north")).and(AllowedRegions.ofList(List.of("south")));
    CallDescriptor any = call();
    CallDescriptor nowhere =
        new CallDescriptor(
            "r", any.route(), true, "group", 0, any.deadlineMillis(), Optional.empty(), none);

    for (CallDescriptor refused : List.of(nowhere, call("west"))) {
      RecordingListener listener = new RecordingListener();
      placement.request(refused, AttemptHistory.none(), listener);
      assertThat(listener.fault().orElseThrow().detail()).contains("no-server");
    }
  }

  /** Guards against a queue whose head waits for one region while servers of others are free. */
  @Test
  void aCallThatWaitsForItsRegionNeitherDelaysOthersNorTakesTheirSlots() {
    QueueingPlacement placement = fixture.placement();
    RecordingListener south = request(placement, call("south"));
    RecordingListener waiting = request(placement, call("south"));

    RecordingListener north = request(placement, call());
    north.grant().orElseThrow().finished(PlacementFixture.answered(20));
    assertThat(waiting.undecided()).isTrue();

    south.grant().orElseThrow().finished(PlacementFixture.answered(20));
    assertThat(waiting.server()).isEqualTo("south-1");
  }

  /** Guards against calls that go first only because they may run in fewer regions. */
  @Test
  void aFreedSlotGoesToTheMostUrgentCallWhateverItsRegions() {
    QueueingPlacement placement = fixture.placement();
    List<RecordingListener> running = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      running.add(request(placement, call()));
    }
    RecordingListener restricted = request(placement, call("north"));
    CallDescriptor lower = fixture.call(1, DEADLINE_MILLIS);
    RecordingListener lessUrgent = request(placement, lower);

    for (RecordingListener call : running) {
      if (call.server().equals("north-2")) {
        call.grant().orElseThrow().finished(PlacementFixture.answered(20));
      }
    }

    assertThat(restricted.server()).isEqualTo("north-2");
    assertThat(lessUrgent.undecided()).isTrue();
  }

  @Test
  void probesForACallGoToItsRegionsOnly() {
    Set<String> probed = new HashSet<>();
    fixture
        .withLoadProbe()
        .tune(Tunable.PROBES_PER_ROUND, 3)
        .tune(Tunable.SERVER_PROBES_PER_SECOND, 1_000)
        .publish();
    QueueingPlacement placement =
        fixture.placement(
            PlacementFixture.SEED,
            PlacementObserver.none(),
            (server, path, done) -> {
              probed.add(server.name());
              done.accept(ProbeAnswer.none());
            });

    request(placement, call("south"));
    request(placement, call("south"));

    assertThat(probed).containsExactly("south-1");
  }

  @Test
  void anEvacuatedDomainGetsNoCallFromTheQueueOrAFreedSlotAndRunningCallsEnd() {
    QueueingPlacement placement = fixture.placement();
    List<RecordingListener> running = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      running.add(request(placement, call()));
    }
    RecordingListener waiting = request(placement, call());
    evacuate("n1");

    for (RecordingListener call : running) {
      if (call.server().equals("north-1")) {
        call.grant().orElseThrow().finished(PlacementFixture.answered(20));
      }
    }
    fixture.loop.advance(20);
    assertThat(waiting.undecided()).isTrue();

    for (RecordingListener call : running) {
      call.grant().orElseThrow().finished(PlacementFixture.answered(20));
    }
    fixture.loop.advance(20);
    assertThat(waiting.server()).isNotEqualTo("north-1");
  }

  @Test
  void withoutAServerOutsideEvacuatedDomainsCallsAreRefusedAtOnce() {
    QueueingPlacement placement = fixture.placement();
    evacuate("n1", "n2", "s1");
    RecordingListener listener = new RecordingListener();

    placement.request(call(), AttemptHistory.none(), listener);

    assertThat(listener.fault().orElseThrow().detail()).contains("no-server");
  }

  /** Guards against all callers returning to a domain at the moment its evacuation ends. */
  @Test
  void afterAnEvacuationTheDomainsShareOfTheWorkGrowsGradually() {
    QueueingPlacement placement = fixture.placement();
    int calls = 200;
    assertThat(served(placement, "north-1", 1)).isEqualTo(1);
    evacuate("n1");
    assertThat(served(placement, "north-1", calls)).isEqualTo(0);
    evacuate();

    int early = served(placement, "north-1", calls);
    fixture.clock.advance(60_000);
    int late = served(placement, "north-1", calls);

    assertThat(early).isGreaterThan(0);
    assertThat(early).isLessThan(calls / 4);
    assertThat(late).isGreaterThan(calls / 3);
  }

  private int served(QueueingPlacement placement, String server, int calls) {
    int served = 0;
    for (int i = 0; i < calls; i++) {
      RecordingListener listener = new RecordingListener();
      placement.request(call(), AttemptHistory.none(), listener);
      if (listener.grant().isPresent()) {
        served += listener.server().equals(server) ? 1 : 0;
        listener.grant().get().finished(PlacementFixture.answered(20));
      }
    }
    return served;
  }
}
