package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.Tunable;

/** Tests entries that share servers with fewer slots than there are entries. */
class SharedServersTest {

  private static final int ENTRIES = 16;

  private final PlacementFixture fixture = new PlacementFixture();

  private RecordingListener submit(Placement placement, CallDescriptor call) {
    RecordingListener listener = new RecordingListener();
    placement.request(call, AttemptHistory.none(), listener);
    return listener;
  }

  /** Delivers the load reports of the servers to a placement, each with the answer to a call. */
  private void deliverReports(Placement placement, Map<String, LoadReport> reports) {
    List<RecordingListener> listeners = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      listeners.add(submit(placement, fixture.call(1000)));
    }
    for (RecordingListener listener : listeners) {
      LoadReport load = reports.get(listener.server());
      listener.grant().get().finished(PlacementFixture.answered(10, load));
    }
  }

  @Test
  void entriesWithTheSameReportsDoNotAllChooseTheSameServer() {
    fixture.servers(10, 6).publish();
    Map<String, LoadReport> reports = new HashMap<>();
    fixture.servers.forEach(server -> reports.put(server.name(), new LoadReport(4, 0, false)));
    reports.put("s3", new LoadReport(0, 0, false));
    List<Placement> entries = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(fixture.placement(i));
      deliverReports(entries.get(i), reports);
    }

    Map<String, Integer> counts = new HashMap<>();
    for (Placement entry : entries) {
      counts.merge(submit(entry, fixture.call(1000)).server(), 1, Integer::sum);
    }

    assertThat(counts.getOrDefault("s3", 0)).isLessThan(ENTRIES / 2);
    assertThat(counts.size()).isAtLeast(4);
  }

  @Test
  void anEntryKeepsWithinItsShareOfTheConnections() {
    fixture.connectionShare = 1;
    Placement placement = fixture.servers(2, 6).publish().placement();

    List<RecordingListener> listeners = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      listeners.add(submit(placement, fixture.call(1000)));
    }

    assertThat(listeners.stream().filter(l -> l.grant().isPresent()).count()).isEqualTo(2);
  }

  @Test
  void workIsHeldBackFromAServerThatReportsAllItsSlotsAndItsQueueFull() {
    Placement placement = fixture.servers(1, 2).publish().placement();
    RecordingListener first = submit(placement, fixture.call(1000));
    RecordingListener second = submit(placement, fixture.call(1000));
    first.grant().get().finished(PlacementFixture.answered(10, new LoadReport(2, 5, false)));

    RecordingListener held = submit(placement, fixture.call(1000));
    assertThat(held.undecided()).isTrue();
    second.grant().get().finished(PlacementFixture.answered(10, new LoadReport(1, 0, false)));

    assertThat(held.server()).isEqualTo("s0");
  }

  @Test
  void nearServersGoFirstAndAnotherRegionOnlyWhenTheyAreBusy() {
    fixture.servers(2, 2).server("far", "south", "x", 6).link("north", "south", 1_000_000);
    Placement placement = fixture.publish().placement();

    List<String> used = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      used.add(submit(placement, fixture.call(1000)).server());
    }

    assertThat(used).doesNotContain("far");
  }

  @Test
  void anotherRegionIsUsedWhenTheWaitHereCostsMoreThanTheTrip() {
    fixture.servers(1, 1).server("far", "south", "x", 6).link("north", "south", 1_000_000);
    Placement placement = fixture.publish().placement();
    submit(placement, fixture.call(1000));
    List<RecordingListener> more = new ArrayList<>();

    for (int i = 0; i < 5; i++) {
      more.add(submit(placement, fixture.call(1000)));
      fixture.loop.advance(5);
    }

    long far = more.stream().filter(l -> l.grant().isPresent() && l.server().equals("far")).count();
    assertThat(far).isAtLeast(1);
  }

  @Test
  void theByteBudgetOfALinkHoldsOverAnyInterval() {
    fixture
        .servers(1, 1)
        .server("far", "south", "x", 100)
        .tune(Tunable.REGION_CALL_BYTES, 1000)
        .link("north", "south", 10_000);
    Placement placement = fixture.publish().placement();
    submit(placement, fixture.call(100_000));
    AtomicInteger crossing = new AtomicInteger();

    for (int i = 0; i < 1000; i++) {
      placement.request(fixture.call(100), AttemptHistory.none(), counting(crossing));
      fixture.loop.advance(10);
    }
    int crossed = crossing.get();

    // 10 s at 10 calls per second, and the burst.
    assertThat(crossed).isAtMost(103);
    assertThat(crossed).isAtLeast(50);
  }

  /** Counts the attempts in the other region, and finishes them at once. */
  private static PlacementListener counting(AtomicInteger crossing) {
    return new PlacementListener() {
      @Override
      public void granted(Grant grant) {
        if (grant.server().name().equals("far")) {
          crossing.incrementAndGet();
          grant.finished(PlacementFixture.answered(36));
        }
      }

      @Override
      public void refused(Refusal refusal) {}
    };
  }

  @Test
  void aServiceWhoseServersAreAllLeavingIsRefusedWithoutDispatch() {
    Placement placement = fixture.servers(2, 2).publish().placement();
    fixture.markLeaving("s0");
    fixture.markLeaving("s1");

    assertThat(submit(placement, fixture.call(1000)).fault()).isPresent();
  }
}
