package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailpin.config.ConfigEvacuation;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.Tunable;

/** Plays many entries over servers that become cold, and counts what each server gets. */
class ColdServersTest {

  private static final double WARMUP_PER_SECOND = 6.1;
  private static final long SLOW_START_MILLIS = 10_000;
  private static final double TOLERATED = WARMUP_PER_SECOND * 1.5 + 8;
  private static final int STEP_MILLIS = 20;
  private static final int WINDOW_MILLIS = 1_000;
  private static final int WORK_MILLIS = 40;

  private final PlacementFixture fixture =
      new PlacementFixture()
          .withSlowStart(SLOW_START_MILLIS, WARMUP_PER_SECOND)
          .tune(Tunable.CANDIDATES, 64)
          .tune(Tunable.RAMP_MILLIS, 0);
  private final Map<String, List<Long>> arrivals = new HashMap<>();
  private final List<QueueingPlacement> entries = new ArrayList<>();
  private long sequence = 1;

  private void start(int servers, int count) {
    fixture.servers(servers, 6).publish();
    fixture.rateShare = 1.0 / count;
    for (int i = 0; i < count; i++) {
      entries.add(fixture.placement(i));
    }
    fixture.loop.advance(ColdServers.SETTLING_MILLIS);
  }

  private void register(int slowStartMillis) {
    sequence++;
    fixture.servers.replaceAll(
        s ->
            new ConfigServer(
                s.name(),
                s.address(),
                s.port(),
                s.region(),
                s.failureDomain(),
                s.slots(),
                s.connections(),
                false,
                0,
                slowStartMillis,
                sequence));
    fixture.publish();
  }

  /** Has every entry call several times a second, and counts the arrivals at each server. */
  private void play(long millis, Random random) {
    arrivals.clear();
    long end = fixture.clock.millis() + millis;
    while (fixture.clock.millis() < end) {
      for (QueueingPlacement entry : entries) {
        if (random.nextInt(10) == 0) {
          call(entry);
        }
      }
      fixture.loop.advance(STEP_MILLIS);
    }
  }

  private void call(QueueingPlacement entry) {
    entry.request(
        fixture.call(2_000),
        AttemptHistory.none(),
        new PlacementListener() {
          @Override
          public void granted(Grant grant) {
            arrivals
                .computeIfAbsent(grant.server().name(), name -> new ArrayList<>())
                .add(fixture.clock.millis());
            fixture.loop.schedule(
                WORK_MILLIS, () -> grant.finished(PlacementFixture.answered(WORK_MILLIS)));
          }

          @Override
          public void refused(Refusal refusal) {}
        });
  }

  private int mostInAWindow() {
    int most = 0;
    for (List<Long> times : arrivals.values()) {
      int first = 0;
      for (int last = 0; last < times.size(); last++) {
        while (times.get(last) - times.get(first) >= WINDOW_MILLIS) {
          first++;
        }
        most = Math.max(most, last - first + 1);
      }
    }
    return most;
  }

  /**
   * Guards against a fleet whose entries each keep to their part and overload a server together.
   */
  @ParameterizedTest
  @CsvSource({"1, 1", "4, 2", "9, 3", "16, 4", "40, 5", "120, 6", "120, 7", "300, 8"})
  void serversThatAllTurnColdAtOnceGetNoMoreThanTheyTolerateInAnySecond(int count, long seed) {
    start(4, count);
    register((int) SLOW_START_MILLIS);
    play(SLOW_START_MILLIS, new Random(seed));

    assertWithMessage("%s entries", count).that((double) mostInAWindow()).isAtMost(TOLERATED);
    assertThat(arrivals).isNotEmpty();
  }

  /**
   * Guards against a rate at which the simulated seconds happen to stay within the bound, but a
   * peak of the independent entries above it is to be expected in a longer run.
   */
  @ParameterizedTest
  @CsvSource({"10", "16", "120", "174", "300", "1000"})
  void aPeakAboveTheBoundIsSixDeviationsFromTheMean(int count) {
    fixture.rateShare = 1.0 / count;
    ColdServers coldServers =
        new ColdServers(
            fixture.shares(), fixture.clock, new SharedRandom(1), PlacementObserver.none());
    fixture.clock.advance(ColdServers.SETTLING_MILLIS);
    ServerState server =
        new ServerState(new ConfigServer("s", "10.0.0.1", 80, "north", "n1", 4, 240, false), 0, 0);
    server.cold().configure(Optional.of(service(Optional.empty())));
    server.cold().stated(SLOW_START_MILLIS, fixture.clock.millis());

    double mean = count * coldServers.sharePerSecond(server).orElseThrow();

    assertThat(mean).isGreaterThan(0.6 * WARMUP_PER_SECOND);
    assertThat(mean + 6 * Math.sqrt(mean * (1 - mean / count))).isAtMost(TOLERATED + 0.001);
  }

  /** Guards against servers that stay limited after their slow start. */
  @Test
  void serversThatAreWarmAgainGetAllRequests() {
    start(2, 20);
    register((int) SLOW_START_MILLIS);
    play(SLOW_START_MILLIS, new Random(1));
    play(2_000, new Random(2));

    assertThat((double) mostInAWindow()).isGreaterThan(2 * TOLERATED);
  }

  /** Guards against an entry that takes a large part because it knows few other entries yet. */
  @Test
  void anEntryThatHasJustStartedSendsNothingToColdServers() {
    fixture.servers(2, 6).publish();
    register((int) SLOW_START_MILLIS);
    entries.add(fixture.placement(1));
    play(ColdServers.SETTLING_MILLIS - STEP_MILLIS, new Random(1));
    assertThat(arrivals).isEmpty();

    play(2_000, new Random(1));
    assertThat(arrivals).isNotEmpty();
  }

  @Test
  void aServerThatAppearsDuringTrafficIsColdAndOthersAreNot() {
    start(1, 40);
    play(1_000, new Random(1));
    fixture.server("late", "north", "n1", 6).publish();
    play(SLOW_START_MILLIS - 1_000, new Random(2));

    assertThat(arrivals.get("late")).isNotEmpty();
    arrivals.remove("s0");
    assertThat((double) mostInAWindow()).isAtMost(TOLERATED);
  }

  @Test
  void aDomainReturnsFromItsEvacuationWithinTheLimitOfColdServers() {
    start(2, 40);
    fixture.extraObjects.add(new ConfigEvacuation("n1"));
    fixture.publish();
    entries.forEach(QueueingPlacement::refresh);
    play(200, new Random(1));
    assertThat(arrivals).isEmpty();

    fixture.extraObjects.remove(fixture.extraObjects.size() - 1);
    fixture.publish();
    play(SLOW_START_MILLIS, new Random(2));

    assertThat(arrivals).hasSize(2);
    assertThat((double) mostInAWindow()).isAtMost(TOLERATED);
  }

  private static ConfigService service(Optional<Long> slowStartMillis) {
    return new ConfigService(
        "work",
        false,
        List.of(),
        Optional.empty(),
        Optional.empty(),
        slowStartMillis,
        Optional.of(WARMUP_PER_SECOND));
  }

  @Test
  void aServerIsColdForAsLongAsItsAnswersToProbesState() {
    ColdState state = new ColdState();
    state.configure(Optional.of(service(Optional.empty())));

    assertThat(state.perSecond(1_000)).isEmpty();
    state.stated(500, 1_000);
    assertThat(state.perSecond(1_400)).hasValue(WARMUP_PER_SECOND);
    assertThat(state.perSecond(1_500)).isEmpty();
    state.stated(500, 1_500);
    state.stated(0, 1_600);
    assertThat(state.perSecond(1_600)).isEmpty();
  }

  /** Guards against servers that count as cold again after a lapse of their registration. */
  @Test
  void aServerThatIsKnownToBeOldIsNotColdWhenItAppears() {
    ColdState state = new ColdState();
    state.configure(Optional.of(service(Optional.of(SLOW_START_MILLIS))));

    state.appeared(SLOW_START_MILLIS + 5_000, 1_000);
    assertThat(state.perSecond(1_000)).isEmpty();
    state.appeared(SLOW_START_MILLIS, 1_000);
    assertThat(state.perSecond(1_000)).isPresent();
  }
}
