package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.error.Step;

/** Tests which calls are queued, served first or refused when there is more work than slots. */
class AdmissionTest {

  private final PlacementFixture fixture = new PlacementFixture();
  private Placement placement;
  private RecordingListener running;

  @BeforeEach
  void occupyTheOnlySlot() {
    fixture
        .servers(1, 1)
        .tune(Tunable.SERVER_QUEUE, 0)
        .group("many", 1)
        .group("few", 1)
        .group("heavy", 3);
    placement = fixture.publish().placement();
    running = submit(fixture.call(100_000));
  }

  private RecordingListener submit(CallDescriptor call) {
    RecordingListener listener = new RecordingListener();
    placement.request(call, AttemptHistory.none(), listener);
    return listener;
  }

  private RecordingListener submit(String group) {
    return submit(fixture.call("short", group, 0, false, 100_000));
  }

  /** Ends the running call, which frees the slot for the next one. */
  private RecordingListener serveNext(List<RecordingListener> waiting) {
    fixture.loop.advance(1);
    running.grant().get().finished(PlacementFixture.answered(10));
    running = waiting.stream().filter(l -> l.grant().isPresent()).findFirst().orElseThrow();
    waiting.remove(running);
    return running;
  }

  @Test
  void aFloodOfOneGroupDoesNotDelayAnotherGroupsCall() {
    List<RecordingListener> waiting = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      waiting.add(submit("many"));
    }
    RecordingListener few = submit("few");
    waiting.add(few);

    serveNext(waiting);
    serveNext(waiting);

    assertThat(few.grant()).isPresent();
  }

  @Test
  void groupsShareByTheirWeights() {
    List<RecordingListener> waiting = new ArrayList<>();
    List<RecordingListener> heavy = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      waiting.add(submit("many"));
      heavy.add(submit("heavy"));
      waiting.add(heavy.get(i));
    }

    for (int i = 0; i < 16; i++) {
      serveNext(waiting);
    }

    assertThat(heavy.stream().filter(l -> l.grant().isPresent()).count()).isEqualTo(12);
  }

  @Test
  void workThatMayWaitGoesBehindWorkThatMayNot() {
    List<RecordingListener> waiting = new ArrayList<>();
    RecordingListener payout = submit(fixture.call("payout", "few", 0, true, 100_000));
    waiting.add(payout);
    RecordingListener later = submit("many");
    waiting.add(later);

    assertThat(serveNext(waiting)).isSameInstanceAs(later);
    assertThat(serveNext(waiting)).isSameInstanceAs(payout);
  }

  @Test
  void workThatMayWaitIsDoneWithinItsDeadlineUnderAFlood() {
    RecordingListener payout = submit(fixture.call("payout", "few", 0, true, 2000));
    List<RecordingListener> waiting = new ArrayList<>(List.of(payout));
    for (int i = 0; i < 4; i++) {
      waiting.add(submit("many"));
    }

    long deadline = fixture.clock.millis() + 2000;
    while (payout.undecided() && fixture.clock.millis() < deadline) {
      fixture.loop.advance(10);
      serveNext(waiting);
      waiting.add(submit("many"));
    }

    assertThat(payout.grant()).isPresent();
  }

  @Test
  void aDeepCallGoesBeforeShallowOnes() {
    List<RecordingListener> waiting = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      waiting.add(submit(fixture.call("short", "many", 0, false, 100_000)));
    }
    List<RecordingListener> deep = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      deep.add(submit(fixture.call("short", "few", 8, false, 100_000)));
    }
    waiting.addAll(deep);

    for (int i = 0; i < 6; i++) {
      serveNext(waiting);
    }

    assertThat(deep.stream().filter(l -> l.grant().isPresent()).count()).isEqualTo(4);
  }

  @Test
  void aCallThatTheQueueCannotStartInTimeIsRefusedAtOnce() {
    for (int i = 0; i < 50; i++) {
      submit("many");
    }

    RecordingListener infeasible = submit(fixture.call(100));

    assertThat(infeasible.fault().get().step()).isEqualTo(Step.ADMIT);
  }

  @Test
  void aCallPastItsDeadlineIsRefused() {
    assertThat(submit(fixture.call(0)).fault().get().step()).isEqualTo(Step.ADMIT);
  }

  @Test
  void theTimeInTheQueueIsBounded() {
    RecordingListener listener = submit(fixture.call(100_000));

    fixture.loop.advance(1010);

    assertThat(listener.fault().get().detail()).contains("queue-time-over");
  }

  @Test
  void aServiceWhoseWorkWasTooSlowForItsDeadlinesIsTriedAgain() {
    for (int i = 0; i < 200; i++) {
      fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "short", 5000);
    }
    assertThat(submit(fixture.call(100)).fault()).isPresent();
    running.grant().get().finished(PlacementFixture.answered(10));

    assertThat(submit(fixture.call(100)).grant()).isPresent();
  }
}
