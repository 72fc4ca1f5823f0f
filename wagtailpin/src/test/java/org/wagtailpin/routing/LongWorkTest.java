package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests short work next to a route whose work takes many times longer. */
class LongWorkTest {

  private final PlacementFixture fixture = new PlacementFixture();

  @BeforeEach
  void recordServiceTimes() {
    for (int i = 0; i < 200; i++) {
      fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "short", 10);
      if (i % 10 == 0) {
        fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "export", 400);
      }
    }
  }

  private RecordingListener submit(Placement placement, String route) {
    RecordingListener listener = new RecordingListener();
    CallDescriptor call = fixture.call(route, "group", 0, false, 100_000);
    placement.request(call, AttemptHistory.none(), listener);
    return listener;
  }

  @Test
  void aFloodOfLongWorkLeavesASlotOfEachServerToShortWork() {
    Placement placement = fixture.servers(3, 2).publish().placement();
    List<RecordingListener> exports = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      exports.add(submit(placement, "export"));
      fixture.loop.advance(5);
    }

    assertThat(exports.stream().filter(l -> l.grant().isPresent()).count()).isEqualTo(3);
    for (int i = 0; i < 3; i++) {
      assertThat(submit(placement, "short").grant()).isPresent();
    }
  }

  @Test
  void longWorkIsNotStarvedByShortWork() {
    Placement placement = fixture.servers(1, 1).publish().placement();
    RecordingListener running = submit(placement, "short");
    RecordingListener export = submit(placement, "export");
    List<RecordingListener> shorts = new ArrayList<>();

    for (int i = 0; i < 200 && export.undecided(); i++) {
      shorts.add(submit(placement, "short"));
      fixture.loop.advance(10);
      running.grant().get().finished(PlacementFixture.answered(10));
      running = shorts.stream().filter(l -> l.grant().isPresent()).findFirst().orElse(running);
      shorts.remove(running);
    }

    assertThat(export.grant()).isPresent();
  }
}
