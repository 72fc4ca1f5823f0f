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

/** Plays an entry whose queue is not empty while the load that other entries cause changes. */
class QueueProbeTest {

  private static final int SERVERS = 4;
  private static final int SLOTS = 2;
  private static final int WORK_MILLIS = 200;
  private static final int STEP_MILLIS = 50;
  private static final long MAX_QUEUE_MILLIS = 600;
  private static final double PROBES_PER_SECOND = 60;

  private final PlacementFixture fixture = new PlacementFixture().withLoadProbe();
  private final Map<String, LoadReport> loads = new HashMap<>();
  private final List<RecordingListener> calls = new ArrayList<>();
  private int probes;
  private QueueingPlacement placement;

  private void start() {
    fixture
        .servers(SERVERS, SLOTS)
        .tune(Tunable.CANDIDATES, 64)
        .tune(Tunable.PROBES_PER_ROUND, 3)
        .tune(Tunable.PROBE_MILLIS, 50)
        .tune(Tunable.SERVER_PROBES_PER_SECOND, PROBES_PER_SECOND)
        .tune(Tunable.MAX_QUEUE_MILLIS, MAX_QUEUE_MILLIS)
        .tune(Tunable.SERVER_QUEUE, 0)
        .tune(Tunable.FAR_CANDIDATES, 64)
        .publish();
    for (int i = 0; i < 20; i++) {
      fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "short", WORK_MILLIS);
    }
    placement = fixture.placement(PlacementFixture.SEED, PlacementObserver.none(), this::probe);
  }

  private void probe(ConfigServer server, String path, Consumer<ProbeAnswer> done) {
    probes++;
    done.accept(
        new ProbeAnswer(Optional.of(loads.get(server.name())), new LimitStatement.Unlimited()));
  }

  private void othersRun(int callsOnEachServer) {
    for (int i = 0; i < SERVERS; i++) {
      loads.put("s" + i, new LoadReport(callsOnEachServer, 0, false, 1));
    }
  }

  private RecordingListener arrive() {
    RecordingListener listener = new RecordingListener();
    placement.request(fixture.call(5_000), AttemptHistory.none(), listener);
    calls.add(listener);
    return listener;
  }

  /** Fills the queue: one call of this entry runs and the next ones wait. */
  private void queueBehindOthers(int waiting) {
    othersRun(SLOTS + 1);
    start();
    assertThat(arrive().grant()).isPresent();
    for (int i = 0; i < waiting; i++) {
      assertThat(arrive().undecided()).isTrue();
    }
  }

  @Test
  void queuedCallsRunOnServersThatOtherEntriesHaveFreed() {
    queueBehindOthers(3);
    fixture.loop.advance(100);
    othersRun(0);
    fixture.loop.advance(100);

    assertThat(calls.stream().filter(call -> call.grant().isPresent()).count()).isEqualTo(4);
  }

  @Test
  void callsThatKeepComingAreNotRefusedWhileOneServerIsAlwaysFree() {
    queueBehindOthers(1);
    List<Long> ends = new ArrayList<>();
    for (int step = 0; step < 100; step++) {
      for (int i = 0; i < SERVERS; i++) {
        loads.put("s" + i, new LoadReport(step % SERVERS == i ? 0 : SLOTS, 0, false, 1));
      }
      if (step % 5 == 0) {
        arrive();
      }
      fixture.loop.advance(STEP_MILLIS);
      endOfWork(ends);
    }

    assertThat(calls.stream().filter(call -> call.refusal().isPresent()).count()).isEqualTo(0);
  }

  /** Ends the calls whose work is done; the first call of the queue never ends. */
  private void endOfWork(List<Long> ends) {
    for (int i = 1; i < calls.size(); i++) {
      if (ends.size() < calls.size()) {
        ends.add(Long.MAX_VALUE);
      }
      Optional<Grant> grant = calls.get(i).grant();
      if (grant.isPresent() && ends.get(i - 1) == Long.MAX_VALUE) {
        ends.set(i - 1, fixture.clock.millis() + WORK_MILLIS);
      }
      if (grant.isPresent() && ends.get(i - 1) <= fixture.clock.millis()) {
        LoadReport report = loads.get(grant.get().server().name());
        grant.get().finished(PlacementFixture.answered(WORK_MILLIS, report));
      }
    }
  }

  @Test
  void queuedCallsRunInAnotherRegionWhileNearServersStayFull() {
    fixture.server("far", "south", "s1", SLOTS);
    loads.put("far", new LoadReport(SLOTS + 1, 0, false, 1));
    queueBehindOthers(2);
    fixture.loop.advance(100);
    loads.put("far", new LoadReport(0, 0, false, 1));
    fixture.loop.advance(400);

    assertThat(calls.stream().filter(call -> call.grant().isPresent()).count()).isEqualTo(3);
  }

  @Test
  void aQueueBeforeFullServersStaysWithinTheProbeBudget() {
    queueBehindOthers(3);
    probes = 0;
    for (int second = 0; second < 10; second++) {
      arrive();
      fixture.loop.advance(1_000);
    }

    double burst = PROBES_PER_SECOND * SERVERS;
    assertThat((double) probes).isAtMost(10 * PROBES_PER_SECOND * SERVERS + burst);
    assertThat(probes).isGreaterThan(0);
  }
}
