package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/**
 * Tests that servers that are slow, fail, misreport their load, leave or have just started get
 * little or no work.
 */
class ServerFaultsTest {

  private static final double USUAL_MILLIS = 10;
  private static final LoadReport IDLE = new LoadReport(0, 0, false);

  private final PlacementFixture fixture = new PlacementFixture();

  /** Creates the report of an attempt, which stands for the answer of its server. */
  private interface Answer {
    AttemptReport of(Grant grant);
  }

  /** Places calls one at a time and counts those on each server. */
  private Map<String, Integer> serve(Placement placement, int calls, Answer answer) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < calls; i++) {
      RecordingListener listener = new RecordingListener();
      placement.request(fixture.call(1000), AttemptHistory.none(), listener);
      Grant grant = listener.grant().get();
      counts.merge(grant.server().name(), 1, Integer::sum);
      fixture.loop.advance(1);
      grant.finished(answer.of(grant));
    }
    return counts;
  }

  private static AttemptReport usualAnswer(Grant grant) {
    return PlacementFixture.answered(USUAL_MILLIS, IDLE);
  }

  private static Answer exceptFor(String name, AttemptReport report) {
    return grant -> grant.server().name().equals(name) ? report : usualAnswer(grant);
  }

  @Test
  void aServerThatFailsFastGetsLessThanItsShare() {
    Placement placement = fixture.servers(6, 6).publish().placement();
    AttemptReport failure =
        new AttemptReport(new AttemptOutcome.Answered(500), 0.1, Optional.of(IDLE));

    Map<String, Integer> counts = serve(placement, 600, exceptFor("s2", failure));

    assertThat(counts.getOrDefault("s2", 0)).isLessThan(20);
  }

  @Test
  void aServerThatReportsItselfIdleButIsSlowGetsLessThanItsShare() {
    Placement placement = fixture.servers(6, 6).publish().placement();
    AttemptReport slow = PlacementFixture.answered(5 * USUAL_MILLIS, IDLE);
    serve(placement, 100, ServerFaultsTest::usualAnswer);

    Map<String, Integer> counts = serve(placement, 600, exceptFor("s2", slow));

    assertThat(counts.getOrDefault("s2", 0)).isLessThan(20);
  }

  @Test
  void aSuddenSlowdownIsDetectedWithinAFewAnswers() {
    Placement placement = fixture.servers(6, 6).publish().placement();
    serve(placement, 100, ServerFaultsTest::usualAnswer);
    AttemptReport slow = PlacementFixture.answered(10 * USUAL_MILLIS, IDLE);

    Map<String, Integer> counts = serve(placement, 100, exceptFor("s2", slow));

    assertThat(counts.getOrDefault("s2", 0)).isAtMost(5);
  }

  @Test
  void aServerThatRecoversGetsWorkAgain() {
    Placement placement = fixture.servers(3, 6).publish().placement();
    AttemptReport slow = PlacementFixture.answered(10 * USUAL_MILLIS, IDLE);
    serve(placement, 100, exceptFor("s2", slow));

    fixture.loop.advance(10_000);
    Map<String, Integer> counts = serve(placement, 300, ServerFaultsTest::usualAnswer);

    assertThat(counts.getOrDefault("s2", 0)).isGreaterThan(50);
  }

  @Test
  void noMoreThanTheMaximumShareOfAServiceIsEjected() {
    fixture.servers(10, 6).tune(Tunable.EJECT_MAX_SHARE, 0.3).publish();
    List<String> ejected = new ArrayList<>();
    Placement placement = fixture.placement(PlacementFixture.SEED, recordingEjections(ejected));
    AttemptReport failure =
        new AttemptReport(new AttemptOutcome.Answered(500), 0.1, Optional.of(IDLE));

    serve(placement, 500, grant -> failure);

    assertThat(ejected).hasSize(3);
  }

  private static PlacementObserver recordingEjections(List<String> ejected) {
    return new PlacementObserver() {
      @Override
      public void granted(CallDescriptor call, ConfigServer server, PlacementReason reason) {}

      @Override
      public void refused(CallDescriptor call, Fault fault, PlacementReason reason) {}

      @Override
      public void serverChanged(ConfigServer server, ServerChange change) {
        if (change == ServerChange.EJECTED) {
          ejected.add(server.name());
        }
      }

      @Override
      public void limitChanged(
          ConfigServer server, Optional<Double> perSecond, double sharePerSecond) {}
    };
  }

  @Test
  void workIsSpreadOverAllServersWhenAllLookUnhealthy() {
    Placement placement = fixture.servers(4, 6).publish().placement();
    AttemptReport failure =
        new AttemptReport(new AttemptOutcome.Answered(500), 0.1, Optional.of(IDLE));

    Map<String, Integer> counts = serve(placement, 400, grant -> failure);

    assertThat(counts.keySet()).containsExactly("s0", "s1", "s2", "s3");
    assertThat(counts.values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(400);
  }

  @Test
  void anEjectedServerRampsUpOnItsReturn() {
    Placement placement =
        fixture.servers(4, 6).tune(Tunable.RAMP_MILLIS, 5000).publish().placement();
    AttemptReport failure =
        new AttemptReport(new AttemptOutcome.Answered(500), 0.1, Optional.of(IDLE));
    for (int i = 0; i < 40; i++) {
      serve(placement, 10, exceptFor("s1", failure));
    }
    fixture.loop.advance(2000);

    Map<String, Integer> first = serve(placement, 200, ServerFaultsTest::usualAnswer);
    fixture.loop.advance(10_000);
    Map<String, Integer> later = serve(placement, 200, ServerFaultsTest::usualAnswer);

    assertThat(first.getOrDefault("s1", 0)).isLessThan(25);
    assertThat(later.getOrDefault("s1", 0)).isGreaterThan(30);
  }

  @Test
  void aNewServerRampsUp() {
    fixture.servers(4, 6).tune(Tunable.RAMP_MILLIS, 5000).publish();
    Placement placement = fixture.placement();
    serve(placement, 10, ServerFaultsTest::usualAnswer);
    fixture.server("new", "north", "n1", 6).publish();

    Map<String, Integer> first = serve(placement, 200, ServerFaultsTest::usualAnswer);
    fixture.loop.advance(10_000);
    Map<String, Integer> later = serve(placement, 200, ServerFaultsTest::usualAnswer);

    assertThat(first.getOrDefault("new", 0)).isLessThan(20);
    assertThat(later.getOrDefault("new", 0)).isGreaterThan(25);
  }

  @Test
  void aTicketThatMarksAServerLeavingStopsItsWorkAtOnce() {
    Placement placement = fixture.servers(3, 6).publish().placement();
    serve(placement, 30, ServerFaultsTest::usualAnswer);

    fixture.markLeaving("s1");

    assertThat(serve(placement, 300, ServerFaultsTest::usualAnswer)).doesNotContainKey("s1");
  }

  @Test
  void theHostListStopsTheWorkOfALeavingServerAtOnce() {
    Placement placement = fixture.servers(3, 6).publish().placement();

    fixture.leavingHosts.publish(Set.of("10.0.0.1"));

    assertThat(serve(placement, 300, ServerFaultsTest::usualAnswer)).doesNotContainKey("s1");
  }

  @Test
  void aServersOwnReportOfLeavingStopsItsWorkAtOnce() {
    Placement placement = fixture.servers(3, 6).publish().placement();
    LoadReport leaving = new LoadReport(0, 0, true);
    serve(placement, 30, exceptFor("s1", PlacementFixture.answered(10, leaving)));

    assertThat(serve(placement, 300, ServerFaultsTest::usualAnswer)).doesNotContainKey("s1");
  }

  @Test
  void aServerThatRefusesIsTriedRarely() {
    Placement placement = fixture.servers(3, 6).publish().placement();
    Fault refused = new Fault(Step.AWAIT_ANSWER, Peer.BACKEND_SERVER, "s1", "refused");
    AttemptReport refusal =
        new AttemptReport(new AttemptOutcome.NotRun(refused), 0.1, Optional.empty());

    Map<String, Integer> counts = serve(placement, 2000, exceptFor("s1", refusal));

    assertThat(counts.getOrDefault("s1", 0)).isAtMost(9);
  }
}
