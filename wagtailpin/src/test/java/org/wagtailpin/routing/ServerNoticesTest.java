package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.ConfigServer;

/** Tests servers that state that they leave or want no requests for a time. */
class ServerNoticesTest {

  private final PlacementFixture fixture = new PlacementFixture();
  private final List<ServerChange> changes = new ArrayList<>();
  private final ServerNotices notices =
      new ServerNotices(fixture.clock, fixture.loop::schedule, recording(changes));

  private static PlacementObserver recording(List<ServerChange> changes) {
    return new PlacementObserver() {
      @Override
      public void granted(CallDescriptor call, ConfigServer server, PlacementReason reason) {}

      @Override
      public void refused(
          CallDescriptor call, org.wagtailpin.error.Fault fault, PlacementReason reason) {}

      @Override
      public void serverChanged(ConfigServer server, ServerChange change) {
        changes.add(change);
      }

      @Override
      public void limitChanged(
          ConfigServer server, Optional<Double> perSecond, double sharePerSecond) {}
    };
  }

  private Placement placement() {
    return fixture.publish().placement(notices);
  }

  private RecordingListener place(Placement placement, long deadlineMillis) {
    RecordingListener listener = new RecordingListener();
    placement.request(fixture.call(deadlineMillis), AttemptHistory.none(), listener);
    return listener;
  }

  private ConfigServer run(String name, long startedMillis, long sequence) {
    return new ConfigServer(
        name, "10.0.0.1", 80, "north", "n1", 6, 240, false, startedMillis, 0, sequence);
  }

  private void state(ConfigServer server, boolean leaving, double pauseMillis) {
    notices.noticed(server, new ServerNotice(leaving, pauseMillis));
  }

  private Map<String, Integer> counts(Placement placement, int calls) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < calls; i++) {
      Grant grant = place(placement, 1_000).grant().get();
      counts.merge(grant.server().name(), 1, Integer::sum);
      grant.finished(PlacementFixture.answered(10));
    }
    return counts;
  }

  @Test
  void aServerThatStatesThatItLeavesGetsNothingMoreUntilItsNextRun() {
    fixture.servers(1, 6);
    fixture.servers.add(run("leaver", 100, 1));
    Placement placement = placement();
    assertThat(counts(placement, 50)).containsKey("leaver");

    state(run("leaver", 100, 1), true, 0);
    state(run("leaver", 100, 1), true, 0);
    assertThat(counts(placement, 50)).doesNotContainKey("leaver");

    // A registration of the same run that is read late, and one after the server was removed.
    fixture.servers.set(1, run("leaver", 100, 2));
    fixture.publish();
    assertThat(counts(placement, 50)).doesNotContainKey("leaver");
    fixture.servers.remove(1);
    fixture.publish();
    assertThat(counts(placement, 1)).doesNotContainKey("leaver");
    fixture.servers.add(run("leaver", 100, 3));
    fixture.publish();
    assertThat(counts(placement, 50)).doesNotContainKey("leaver");

    fixture.servers.set(1, run("leaver", 200, 1));
    fixture.publish();
    assertThat(counts(placement, 200)).containsKey("leaver");
    // A late answer of the run before.
    state(run("leaver", 100, 3), true, 0);
    state(run("leaver", 200, 1), false, 0);
    assertThat(changes).containsExactly(ServerChange.STATES_LEAVING);
  }

  @Test
  void aServiceWhoseServersAllLeaveRefusesAtOnce() {
    Placement placement = fixture.servers(1, 6).publish().placement(notices);
    state(fixture.servers.get(0), true, 0);

    assertThat(place(placement, 1_000).fault()).isPresent();
  }

  @Test
  void aPausedServerGetsNothingUntilTheLongestPauseEndsAndThenRampsUp() {
    Placement placement = fixture.servers(2, 6).publish().placement(notices);
    state(fixture.servers.get(0), false, 4_000);
    state(fixture.servers.get(0), false, 1_000);

    fixture.loop.advance(3_999);
    assertThat(counts(placement, 100)).containsExactly("s1", 100);
    assertThat(changes).containsExactly(ServerChange.PAUSED);
    fixture.loop.advance(1);
    assertThat(changes).containsExactly(ServerChange.PAUSED, ServerChange.RESUMED).inOrder();

    assertThat(counts(placement, 200).getOrDefault("s0", 0)).isLessThan(50);
    fixture.loop.advance(10_000);
    assertThat(counts(placement, 200).get("s0")).isAtLeast(70);
  }

  // Guards against calls that wait in vain for paused servers and then come back too early.
  @Test
  void aCallThatIsTooLateWhenTheFirstPauseEndsIsRefusedAtOnceUntilThen() {
    Placement placement = fixture.servers(2, 6).publish().placement(notices);
    state(fixture.servers.get(0), false, 9_000);
    state(fixture.servers.get(1), false, 7_000);

    RecordingListener refused = place(placement, 5_000);

    assertThat(refused.fault().get().detail()).contains("servers-paused");
    assertThat(refused.refusal().get().retryAfterMillis()).isAtLeast(7_000L);
  }

  @Test
  void aWaitingCallIsRefusedAtOnceWhenItsServersAskForALongPause() {
    Placement placement = fixture.servers(1, 1).publish().placement(notices);
    RecordingListener running = place(placement, 5_000);
    RecordingListener waiting = place(placement, 5_000);
    assertThat(running.grant()).isPresent();
    assertThat(waiting.undecided()).isTrue();

    state(fixture.servers.get(0), false, 7_000);
    fixture.loop.advance(10);

    assertThat(waiting.fault().get().detail()).contains("servers-paused");
    assertThat(waiting.refusal().get().retryAfterMillis()).isAtLeast(6_900L);
  }

  @Test
  void aCallThatCanWaitForTheEndOfAPauseGetsTheServerThen() {
    Placement placement = fixture.servers(1, 6).publish().placement(notices);
    state(fixture.servers.get(0), false, 300);

    RecordingListener waiting = place(placement, 5_000);
    assertThat(waiting.undecided()).isTrue();
    fixture.loop.advance(299);
    assertThat(waiting.undecided()).isTrue();
    fixture.loop.advance(600);

    assertThat(waiting.grant()).isPresent();
  }
}
