package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.membership.LimitShares;

/** Counts the connections that the entries of a fleet would open, in simulated time. */
class ServerSubsetsTest {

  private static final int ENTRIES_WITHOUT = 64;
  private static final long SEED = 11;
  private static final int SERVERS = 100;
  private static final int SLOTS = 3;
  private static final int WORK_MILLIS = 200;
  private static final int IDLE_MILLIS = 4_000;
  private static final int DURATION_MILLIS = 20_000;
  private static final int WARM_UP_MILLIS = 8_000;

  /** What a fleet did after it had warmed up. */
  private record Result(int requests, int opened, Map<String, Integer> byServer) {

    double openedShare() {
      return (double) opened / requests;
    }

    double busiestShare() {
      int most = byServer.values().stream().mapToInt(Integer::intValue).max().orElse(0);
      return (double) most * SERVERS / requests;
    }
  }

  /** A fleet in simulated time whose servers close idle connections. */
  private static final class Fleet {
    private final PlacementFixture fixture =
        new PlacementFixture()
            .withLoadProbe()
            .tune(Tunable.CANDIDATES, 64)
            .tune(Tunable.PROBES_PER_ROUND, 3)
            .tune(Tunable.SERVER_PROBES_PER_SECOND, 10)
            .servers(SERVERS, SLOTS)
            .publish();
    private final Random random = new Random(SEED);
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, List<Long>> idleSince = new HashMap<>();
    private final Map<String, Integer> byServer = new HashMap<>();
    private int requests;
    private int opened;
    private boolean counted;

    Result play(int entries, double perSecond, boolean subsets) {
      List<Placement> placements = new ArrayList<>();
      for (int i = 0; i < entries; i++) {
        ServerNotices notices =
            new ServerNotices(fixture.clock, fixture.loop::schedule, PlacementObserver.none());
        ServerSubsets own =
            subsets
                ? new ServerSubsets("e" + i, ENTRIES_WITHOUT, evenShares(entries))
                : ServerSubsets.whole();
        int entry = i;
        LoadProbe probe =
            (server, path, done) -> {
              use(entry, server.name());
              release(entry, server.name());
              done.accept(
                  new ProbeAnswer(
                      Optional.of(report(server.name())), new LimitStatement.Unlimited()));
            };
        placements.add(fixture.placement(i, notices, own, probe));
      }
      double due = 0;
      for (int milli = 0; milli < DURATION_MILLIS; milli++) {
        counted = milli >= WARM_UP_MILLIS;
        for (due += perSecond / 1_000; due >= 1; due--) {
          int entry = random.nextInt(entries);
          RecordingListener listener = new RecordingListener();
          placements.get(entry).request(fixture.call(3_000), AttemptHistory.none(), listener);
          listener.grant().ifPresent(grant -> serve(entry, grant));
        }
        fixture.loop.advance(1);
      }
      return new Result(requests, opened, byServer);
    }

    /** Takes an idle connection, or opens one. */
    private void use(int entry, String server) {
      List<Long> idle = idleSince.computeIfAbsent(entry + "/" + server, key -> new ArrayList<>());
      idle.removeIf(since -> fixture.clock.millis() - since >= IDLE_MILLIS);
      if (!idle.isEmpty()) {
        idle.remove(idle.size() - 1);
      } else if (counted) {
        opened++;
      }
    }

    private void release(int entry, String server) {
      idleSince.get(entry + "/" + server).add(fixture.clock.millis());
    }

    private LoadReport report(String server) {
      int left = running.getOrDefault(server, 0);
      return new LoadReport(Math.min(SLOTS, left), Math.max(0, left - SLOTS), false);
    }

    private void serve(int entry, Grant grant) {
      String server = grant.server().name();
      use(entry, server);
      if (counted) {
        requests++;
        byServer.merge(server, 1, Integer::sum);
      }
      running.merge(server, 1, Integer::sum);
      fixture.loop.schedule(
          WORK_MILLIS,
          () -> {
            running.merge(server, -1, Integer::sum);
            release(entry, server);
            grant.finished(PlacementFixture.answered(WORK_MILLIS, report(server)));
          });
    }
  }

  private static LimitShares evenShares(int entries) {
    return new LimitShares() {
      @Override
      public int integerShare(String limitName, int limit) {
        return limit;
      }

      @Override
      public double share(double limit) {
        return limit / entries;
      }
    };
  }

  // Guards against a connection for each request and each probe in a fleet of many entries and
  // servers: 11,253 were opened for 4,800 requests without subsets, 671 with them.
  @Test
  void aLargeFleetKeepsMostOfItsConnectionsAndLoadStaysEven() {
    Result whole = new Fleet().play(174, 400, false);
    Result subsets = new Fleet().play(174, 400, true);

    assertThat(whole.openedShare()).isGreaterThan(1.0);
    assertThat(subsets.openedShare()).isLessThan(0.3);
    assertThat(subsets.requests()).isAtLeast((int) (0.98 * whole.requests()));
    assertThat(subsets.busiestShare()).isLessThan(1.6);
  }

  // Guards against calls that wait for the few servers of the subset while others are free.
  @Test
  void theSubsetWidensToAllServersWhileItsOwnAreBusy() {
    PlacementFixture fixture =
        new PlacementFixture().tune(Tunable.CANDIDATES, 64).servers(10, 1).publish();
    ServerNotices notices =
        new ServerNotices(fixture.clock, fixture.loop::schedule, PlacementObserver.none());
    Placement placement =
        fixture.placement(
            SEED,
            notices,
            new ServerSubsets("e1", ENTRIES_WITHOUT, evenShares(174)),
            LoadProbe.none());
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 10; i++) {
      RecordingListener listener = new RecordingListener();
      placement.request(fixture.call(3_000), AttemptHistory.none(), listener);
      used.add(listener.server());
    }

    assertThat(used).hasSize(10);
  }

  @Test
  void nothingChangesInASmallFleet() {
    Result whole = new Fleet().play(16, 200, false);
    Result subsets = new Fleet().play(16, 200, true);

    assertThat(subsets).isEqualTo(whole);
  }
}
