package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/** Tests servers that never answer what they cannot queue. */
class UnansweredRequestsTest {

  private static final double USUAL_MILLIS = 100;
  private static final long IGNORED_MILLIS = 4_000;
  private static final Fault NO_ANSWER =
      new Fault(Step.AWAIT_ANSWER, Peer.BACKEND_SERVER, "s0", "the deadline passed");

  private final PlacementFixture fixture =
      new PlacementFixture().withLoadProbe().tune(Tunable.SERVER_PROBES_PER_SECOND, 1_000);
  private boolean answersProbes = true;
  private LoadReport probedLoad = new LoadReport(3, 12, false);

  private void probe(ConfigServer server, String path, Consumer<ProbeAnswer> done) {
    done.accept(
        answersProbes
            ? new ProbeAnswer(Optional.of(probedLoad), new LimitStatement.Unlimited())
            : ProbeAnswer.none());
  }

  private QueueingPlacement placement(int servers) {
    fixture.servers(servers, 3).publish();
    QueueingPlacement placement =
        fixture.placement(PlacementFixture.SEED, PlacementObserver.none(), this::probe);
    for (int i = 0; i < 20; i++) {
      place(placement).grant().get().finished(usualAnswer());
      fixture.loop.advance(10);
    }
    return placement;
  }

  private static AttemptReport usualAnswer() {
    return PlacementFixture.answered(USUAL_MILLIS, new LoadReport(0, 0, false));
  }

  private RecordingListener place(Placement placement) {
    RecordingListener listener = new RecordingListener();
    placement.request(fixture.call(IGNORED_MILLIS), AttemptHistory.none(), listener);
    return listener;
  }

  private void leaveUnanswered(Grant grant, long millis) {
    fixture.loop.advance(millis);
    grant.finished(
        new AttemptReport(new AttemptOutcome.Unknown(NO_ANSWER), millis, Optional.empty()));
  }

  // Guards against a change of deployments whose servers answer: nothing counts as unanswered.
  @Test
  void nothingCountsAsUnansweredBeforeAServerWasSeenNotToAnswer() {
    QueueingPlacement placement = placement(4);

    assertThat(place(placement).grant().get().silenceMillis()).isEqualTo(Double.POSITIVE_INFINITY);
  }

  @Test
  void aServerThatIsDownOrFrozenIsNotTakenForOneThatIgnoresRequests() {
    QueueingPlacement placement = placement(4);
    answersProbes = false;

    leaveUnanswered(place(placement).grant().get(), IGNORED_MILLIS);

    assertThat(place(placement).grant().get().silenceMillis()).isEqualTo(Double.POSITIVE_INFINITY);
  }

  // Guards against a straggler taken for an ignored request.
  @Test
  void anAttemptThatWasGivenUpEarlierThanAStragglerTakesTeachesNothing() {
    QueueingPlacement placement = placement(4);

    leaveUnanswered(place(placement).grant().get(), (long) (7 * USUAL_MILLIS));

    assertThat(place(placement).grant().get().silenceMillis()).isEqualTo(Double.POSITIVE_INFINITY);
  }

  @Test
  void laterRequestsCountAsUnansweredAfterMoreThanAStragglerTakesAndBeforeTheDeadline() {
    QueueingPlacement placement = placement(4);
    leaveUnanswered(place(placement).grant().get(), IGNORED_MILLIS);

    double silenceMillis = place(placement).grant().get().silenceMillis();

    assertThat(silenceMillis).isGreaterThan(7 * USUAL_MILLIS);
    assertThat(silenceMillis).isLessThan(IGNORED_MILLIS / 2.0);
  }

  @Test
  void aServerThatIgnoredARequestIsFullForAWhileOrUntilItReportsAFreeSlot() {
    List<ServerChange> changes = new ArrayList<>();
    fixture.servers(1, 3).publish();
    HeldServers full =
        new HeldServers(
            fixture.clock,
            fixture.loop::schedule,
            new NoOpChanges(changes),
            ServerChange.UNANSWERING,
            ServerChange.ANSWERING);
    FullServerGate gate = new FullServerGate(full);
    ServerState server = new ServerState(fixture.servers.get(0), 0, 0);
    full.hold(server.server(), fixture.clock.exactMillis() + 1_000);
    full.hold(server.server(), fixture.clock.exactMillis() + 500);

    assertThat(gate.millisUntilOpen(null, server, fixture.clock.exactMillis())).isEqualTo(1_000);
    fixture.loop.advance(999);
    assertThat(changes).containsExactly(ServerChange.UNANSWERING);
    fixture.loop.advance(1);
    assertThat(gate.millisUntilOpen(null, server, fixture.clock.exactMillis())).isEqualTo(0);
    assertThat(changes).containsExactly(ServerChange.UNANSWERING, ServerChange.ANSWERING).inOrder();

    full.hold(server.server(), fixture.clock.exactMillis() + 1_000);
    fixture.loop.advance(10);
    server.load().recordReport(new LoadReport(2, 0, false), fixture.clock.exactMillis());
    assertThat(gate.millisUntilOpen(null, server, fixture.clock.exactMillis())).isEqualTo(0);
  }

  // Guards against servers filled by entries of which each has nothing in flight and so sends a
  // request whatever the servers report.
  @Test
  void anEntryWithNothingInFlightHoldsBackFromServersThatReportAlmostFullQueues() {
    QueueingPlacement placement = placement(4);
    probedLoad = new LoadReport(3, 12, false);
    leaveUnanswered(place(placement).grant().get(), IGNORED_MILLIS);
    fixture.loop.advance(1_000);
    for (int i = 0; i < 4; i++) {
      place(placement)
          .grant()
          .ifPresent(
              grant ->
                  grant.finished(
                      PlacementFixture.answered(USUAL_MILLIS, new LoadReport(3, 11, false))));
    }

    assertThat(place(placement).undecided()).isTrue();
  }

  /** Records the changes of servers. */
  private record NoOpChanges(List<ServerChange> changes) implements PlacementObserver {
    @Override
    public void granted(CallDescriptor call, ConfigServer server, PlacementReason reason) {}

    @Override
    public void refused(CallDescriptor call, Fault fault, PlacementReason reason) {}

    @Override
    public void serverChanged(ConfigServer server, ServerChange change) {
      changes.add(change);
    }

    @Override
    public void limitChanged(
        ConfigServer server, Optional<Double> perSecond, double sharePerSecond) {}
  }
}
