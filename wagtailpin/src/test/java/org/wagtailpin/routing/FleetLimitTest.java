package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.Tunable;

/** Plays many entries over servers of which some name limits, and counts what the servers get. */
class FleetLimitTest {

  private static final int ENTRIES = 16;
  private static final int SERVERS = 25;
  private static final int SLOTS = 6;
  private static final int WORK_MILLIS = 150;
  private static final int STEP_MILLIS = 10;
  private static final double CALLS_PER_SECOND = 160;
  private static final double CREST_CALLS_PER_SECOND = 400;
  private static final long LIMITS_FROM_MILLIS = 3_000;
  private static final long LIMITS_UNTIL_MILLIS = 23_000;
  private static final long END_MILLIS = 45_000;
  private static final long WINDOW_MILLIS = 4_000;
  private static final long SETTLING_MILLIS = 3_000;
  private static final long REACTION_MILLIS = 500;
  private static final int CALLS_AT_ONCE = 4;
  private static final double TOLERANCE = 1.5;
  private static final double SURPLUS = 5;

  private final PlacementFixture fixture = new PlacementFixture().withLoadProbe();
  private final Map<String, Double> limits = new HashMap<>();
  private final Map<String, List<Long>> arrivals = new HashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final List<Entry> entries = new ArrayList<>();
  private double callsPerSecond = CALLS_PER_SECOND;
  private long startMillis;
  private int served;
  private int refused;
  private int refusedWithoutLimits;
  private long longestWaitOfRefusedMillis;

  /** One entry, with the time of the first answer of each server that named a limit. */
  private final class Entry {
    private final QueueingPlacement placement;
    private final Map<String, Long> namedMillis = new HashMap<>();
    private boolean frozen;

    Entry(long seed) {
      placement = fixture.placement(seed, PlacementObserver.none(), this::probe);
    }

    private void probe(ConfigServer server, String path, Consumer<ProbeAnswer> done) {
      arrive(this, server.name());
      int running = inFlight.getOrDefault(server.name(), 0);
      done.accept(
          new ProbeAnswer(
              Optional.of(new LoadReport(Math.min(running, SLOTS), 0, false, 1)),
              answer(this, server.name())));
    }

    void request() {
      long arrivedMillis = now();
      placement.request(
          fixture.call(2_000),
          AttemptHistory.none(),
          new PlacementListener() {
            @Override
            public void granted(Grant grant) {
              run(Entry.this, grant);
            }

            @Override
            public void refused(Refusal refusal) {
              refused++;
              if (!limitsHold()) {
                refusedWithoutLimits++;
              }
              longestWaitOfRefusedMillis =
                  Math.max(longestWaitOfRefusedMillis, now() - arrivedMillis);
            }
          });
    }
  }

  @BeforeEach
  void start() {
    fixture
        .servers(SERVERS, SLOTS)
        .tune(Tunable.CANDIDATES, 64)
        .tune(Tunable.PROBES_PER_ROUND, 3)
        .tune(Tunable.PROBE_MILLIS, 50)
        .tune(Tunable.SERVER_PROBES_PER_SECOND, 60)
        .publish();
    fixture.rateShare = 1.0 / ENTRIES;
    for (int i = 0; i < 50; i++) {
      fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "short", WORK_MILLIS);
    }
    startMillis = fixture.clock.millis();
  }

  private long now() {
    return fixture.clock.millis() - startMillis;
  }

  private boolean limitsHold() {
    return now() >= LIMITS_FROM_MILLIS && now() < LIMITS_UNTIL_MILLIS;
  }

  private LimitStatement answer(Entry entry, String server) {
    Double limit = limits.get(server);
    if (limit == null || !limitsHold()) {
      return new LimitStatement.Unlimited();
    }
    entry.namedMillis.putIfAbsent(server, now());
    return new LimitStatement.Limited(limit);
  }

  /** Counts what arrives from entries a reaction time after the limit was named to them. */
  private void arrive(Entry entry, String server) {
    Long named = entry.namedMillis.get(server);
    boolean settled = now() >= LIMITS_FROM_MILLIS + SETTLING_MILLIS && limitsHold();
    if (settled && named != null && named + REACTION_MILLIS <= now()) {
      arrivals.computeIfAbsent(server, name -> new ArrayList<>()).add(now());
    }
  }

  private void run(Entry entry, Grant grant) {
    String server = grant.server().name();
    arrive(entry, server);
    served++;
    inFlight.merge(server, 1, Integer::sum);
    fixture.loop.schedule(
        WORK_MILLIS,
        () -> {
          int running = inFlight.merge(server, -1, Integer::sum);
          grant.finished(
              new AttemptReport(
                  new AttemptOutcome.Answered(200),
                  WORK_MILLIS,
                  Optional.of(new LoadReport(Math.min(running, SLOTS), 0, false, 1)),
                  0,
                  answer(entry, server)));
        });
  }

  private void limit(Random random, int servers, double from, double to) {
    for (int i = 0; i < servers; i++) {
      limits.put("s" + i, from + (to - from) * random.nextDouble());
    }
  }

  private void play(Random random, Runnable eachSecond) {
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new Entry(random.nextLong()));
    }
    while (now() < END_MILLIS) {
      if (now() % 1_000 == 0) {
        eachSecond.run();
      }
      if (random.nextDouble() < callsPerSecond * STEP_MILLIS / 1_000 / CALLS_AT_ONCE) {
        for (int i = 0; i < CALLS_AT_ONCE; i++) {
          callAnEntry(random);
        }
      }
      fixture.loop.advance(STEP_MILLIS);
    }
  }

  private void callAnEntry(Random random) {
    Entry entry = entries.get(random.nextInt(entries.size()));
    if (!entry.frozen) {
      entry.request();
    }
  }

  private void assertLimitsHeld() {
    arrivals.forEach(
        (server, times) -> {
          double allowed = TOLERANCE * limits.get(server) * WINDOW_MILLIS / 1_000 + SURPLUS;
          assertWithMessage("server %s with a limit of %s a second", server, limits.get(server))
              .that((double) mostInAWindow(times))
              .isAtMost(allowed);
        });
  }

  private static int mostInAWindow(List<Long> times) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= WINDOW_MILLIS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void serversThatNameALimitGetNoMoreAndCallersGoElsewhere(long seed) {
    Random random = new Random(seed);
    limit(random, 18, 1, 7.5);
    play(random, () -> {});

    assertLimitsHeld();
    assertThat(arrivals).isNotEmpty();
    assertThat(refused).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void serversThatNameALimitAreUsedUpToItWhileTheOthersAreFull(long seed) {
    Random random = new Random(seed);
    limit(random, 18, 2, 5);
    callsPerSecond = CREST_CALLS_PER_SECOND;
    play(random, () -> {});

    assertLimitsHeld();
    double seconds = (LIMITS_UNTIL_MILLIS - LIMITS_FROM_MILLIS - SETTLING_MILLIS) / 1_000.0;
    double allowed = seconds * limits.values().stream().mapToDouble(Double::doubleValue).sum();
    double used = arrivals.values().stream().mapToInt(List::size).sum();
    assertThat(used).isAtLeast(0.7 * allowed);
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void callersBeyondTheLimitsOfAllServersAreRefusedInTimeAndTheRestIsServed(long seed) {
    Random random = new Random(seed);
    limit(random, SERVERS, 2, 4);
    play(random, () -> {});

    assertLimitsHeld();
    double limitedSeconds = (LIMITS_UNTIL_MILLIS - LIMITS_FROM_MILLIS) / 1_000.0;
    double allowed = limits.values().stream().mapToDouble(Double::doubleValue).sum();
    double calls = CALLS_PER_SECOND * END_MILLIS / 1_000;
    double unserved = (CALLS_PER_SECOND - allowed) * limitedSeconds;
    assertThat((double) served).isAtLeast(0.9 * (calls - unserved));
    assertThat(refused).isGreaterThan(0);
    assertThat(longestWaitOfRefusedMillis).isAtMost(1_100);
    assertThat(refusedWithoutLimits).isLessThan(refused / 5);
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void entriesThatStartFreezeAndWakeKeepTheLimits(long seed) {
    Random random = new Random(seed);
    limit(random, 20, 1, 6);
    play(
        random,
        () -> {
          int index = random.nextInt(entries.size());
          Entry entry = entries.get(index);
          if (random.nextBoolean()) {
            entry.frozen = !entry.frozen;
          } else {
            entries.set(index, new Entry(random.nextLong()));
          }
        });

    assertLimitsHeld();
    Set<String> used = new HashSet<>(arrivals.keySet());
    assertThat(used).isNotEmpty();
  }
}
