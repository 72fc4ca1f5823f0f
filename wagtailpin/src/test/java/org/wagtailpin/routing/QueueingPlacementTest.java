package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.error.Step;

class QueueingPlacementTest {

  private final PlacementFixture fixture = new PlacementFixture();

  private RecordingListener submit(Placement placement, CallDescriptor call) {
    RecordingListener listener = new RecordingListener();
    placement.request(call, AttemptHistory.none(), listener);
    return listener;
  }

  @Test
  void aServiceWithoutServersIsRefusedAtOnce() {
    Placement placement = fixture.publish().placement();

    RecordingListener listener = submit(placement, fixture.call(1000));

    assertThat(listener.fault().get().step()).isEqualTo(Step.PICK_SERVER);
  }

  @Test
  void workGoesToServersWithFreeSlotsUntilAllAreTaken() {
    Placement placement = fixture.servers(3, 2).tune(Tunable.SERVER_QUEUE, 0).publish().placement();
    Map<String, Integer> perServer = new HashMap<>();

    List<RecordingListener> listeners = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      listeners.add(submit(placement, fixture.call(1000)));
      fixture.loop.advance(10);
    }

    for (RecordingListener listener : listeners.subList(0, 6)) {
      perServer.merge(listener.server(), 1, Integer::sum);
    }
    assertThat(perServer).containsExactly("s0", 2, "s1", 2, "s2", 2);
    assertThat(listeners.get(6).undecided()).isTrue();
  }

  @Test
  void aQueuedCallTakesTheFirstSlotThatFreesUp() {
    Placement placement = fixture.servers(1, 1).tune(Tunable.SERVER_QUEUE, 0).publish().placement();
    RecordingListener first = submit(placement, fixture.call(1000));
    RecordingListener second = submit(placement, fixture.call(1000));
    assertThat(second.undecided()).isTrue();

    fixture.loop.advance(5);
    first.grant().get().finished(PlacementFixture.answered(5));

    assertThat(second.server()).isEqualTo("s0");
  }

  @Test
  void aQueuedCallDoesNotTakeTheSlotThatFreesUpAtARemovedServer() {
    Placement placement = fixture.servers(2, 1).tune(Tunable.SERVER_QUEUE, 0).publish().placement();
    RecordingListener first = submit(placement, fixture.call(10_000));
    RecordingListener second = submit(placement, fixture.call(10_000));
    RecordingListener queued = submit(placement, fixture.call(10_000));
    assertThat(queued.undecided()).isTrue();

    fixture.servers.removeIf(server -> server.name().equals(first.server()));
    fixture.publish();
    fixture.loop.advance(5);
    first.grant().get().finished(PlacementFixture.answered(5));
    assertThat(queued.undecided()).isTrue();

    second.grant().get().finished(PlacementFixture.answered(5));
    assertThat(queued.server()).isEqualTo(second.server());
  }

  @Test
  void aQueuedCallIsRefusedWhenItCannotFinishInTime() {
    Placement placement = fixture.servers(1, 1).tune(Tunable.SERVER_QUEUE, 0).publish().placement();
    submit(placement, fixture.call(1000));
    RecordingListener second = submit(placement, fixture.call(100));

    fixture.loop.advance(100);

    assertThat(second.fault().get().step()).isEqualTo(Step.ADMIT);
  }

  @Test
  void aWithdrawnCallGetsNoServer() {
    Placement placement = fixture.servers(1, 1).tune(Tunable.SERVER_QUEUE, 0).publish().placement();
    RecordingListener first = submit(placement, fixture.call(1000));
    RecordingListener second = new RecordingListener();
    placement.request(fixture.call(1000), AttemptHistory.none(), second).withdraw();

    first.grant().get().finished(PlacementFixture.answered(5));
    fixture.loop.advance(1000);

    assertThat(second.undecided()).isTrue();
  }

  @Test
  void theSlotOfACallThatMayStillRunStaysTakenForItsExpectedTime() {
    Placement placement = fixture.servers(1, 1).tune(Tunable.SERVER_QUEUE, 0).publish().placement();
    RecordingListener first = submit(placement, fixture.call(1000));
    RecordingListener second = submit(placement, fixture.call(1000));

    first
        .grant()
        .get()
        .finished(new AttemptReport(new AttemptOutcome.Cancelled(), 1, java.util.Optional.empty()));
    assertThat(second.undecided()).isTrue();
    fixture.loop.advance(100);

    assertThat(second.server()).isEqualTo("s0");
  }
}
