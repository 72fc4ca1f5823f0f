package org.wagtailpin.claims;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.entrypeer.memory.MemoryPeerNetwork;
import org.wagtailpin.entrypeer.memory.NetworkFaults;
import org.wagtailpin.store.memory.MemoryStore;

/**
 * Entries that claim a few keys under a random schedule of faults, driven by a manual clock.
 *
 * <p>Counts how often the work of each key runs. The whole schedule is determined by the seed.
 */
final class ClaimSimulation {

  private static final List<String> ENTRIES = List.of("e1", "e2", "e3", "e4");
  private static final int KEY_COUNT = 8;
  private static final int STEP_COUNT = 400;
  private static final long MAX_STEP_MILLIS = 250;
  private static final long CALL_TIMEOUT_MILLIS = 3_000;
  private static final long MAX_WORK_MILLIS = 4_000;
  private static final long RECOVERY_MILLIS = 60_000;
  private static final ClaimSettings SETTINGS =
      new ClaimSettings(2, 600_000, 50, 1_000, 2_000, 400, 1_000, 1_000_000);

  private final UniformRandomProvider random;
  private final ManualClock clock = new ManualClock(1_000_000);
  private final ManualControlLoop timeline = new ManualControlLoop(clock);
  private final FaultInjectingStore store;
  private final MutantStore client;
  private final MemoryPeerNetwork network;
  private final Map<String, ClaimEntry> entries = new HashMap<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Set<String>> answers = new HashMap<>();
  private final Map<Class<?>, Integer> results = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long incarnations;

  ClaimSimulation(long seed, MutantStore.Mutation mutation) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.store = new FaultInjectingStore(new MemoryStore(clock, timeline), timeline, random);
    this.client = new MutantStore(store, mutation);
    this.network = new MemoryPeerNetwork(timeline, random);
    ENTRIES.forEach(this::startEntry);
  }

  List<String> violations() {
    return violations;
  }

  /** Returns how many claims ended in each type of result. */
  Map<Class<?>, Integer> results() {
    return results;
  }

  /**
   * Runs the schedule, clears all faults, and checks that every entry then gets a result other than
   * unavailable for every key.
   */
  void run() {
    for (int i = 0; i < STEP_COUNT; i++) {
      step();
      timeline.advance(random.nextLong(MAX_STEP_MILLIS));
    }
    recover();
    for (int key = 0; key < KEY_COUNT; key++) {
      checkClaimable(keyName(key));
    }
  }

  private void startEntry(String id) {
    entries.put(
        id,
        new ClaimEntry(
            id, ++incarnations, ENTRIES, SETTINGS, client, network, clock, timeline, random));
  }

  private void step() {
    ClaimEntry entry = entries.get(ENTRIES.get(random.nextInt(ENTRIES.size())));
    int kind = random.nextInt(100);
    if (kind < 70) {
      call(entry, keyName(random.nextInt(KEY_COUNT)));
    } else if (kind < 76) {
      entry.loop().pause();
      timeline.schedule(random.nextLong(8_000), entry.loop()::resume);
    } else if (kind < 84) {
      entry.membership().set(randomView(entry.id()));
    } else if (kind < 88) {
      store.setLostAnswerProbability(random.nextDouble() * 0.6);
      store.setMaxDelayMillis(1 + random.nextLong(300));
    } else if (kind < 90) {
      store.setDown(random.nextBoolean());
    } else if (kind < 94) {
      network.setFaults(
          new NetworkFaults(
              1, 1 + random.nextLong(400), random.nextDouble() / 3, random.nextDouble() / 2));
    } else if (kind < 96) {
      clearFaults();
    } else if (kind < 98) {
      network.addPartition(Set.of(entry.id()), Set.copyOf(randomView("")));
    } else {
      entry.loop().stop();
      network.disconnect(entry.id());
      startEntry(entry.id());
    }
  }

  private List<String> randomView(String self) {
    return ENTRIES.stream().filter(id -> id.equals(self) || random.nextBoolean()).toList();
  }

  private void call(ClaimEntry entry, String key) {
    CompletableFuture<ClaimResult> claim =
        entry
            .claims()
            .claim(
                new ClaimKey("orders", key), key.hashCode(), clock.millis() + CALL_TIMEOUT_MILLIS);
    Continuation.attach(claim, result -> handleResult(entry, key, result));
  }

  private void handleResult(ClaimEntry entry, String key, ClaimResult result) {
    results.merge(result.getClass(), 1, Integer::sum);
    if (result instanceof ClaimResult.Granted granted) {
      // Dispatched in a separate task, so that the entry can be paused between claim and dispatch.
      entry.loop().execute(() -> dispatch(entry, key, granted.token()));
    } else if (result instanceof ClaimResult.Replayed replayed) {
      String answer = new String(replayed.answer().body(), UTF_8);
      if (!answers.getOrDefault(key, Set.of()).contains(answer)) {
        violations.add(key + " was replayed with an answer that its work did not give: " + answer);
      }
    } else if (result instanceof ClaimResult.KeyReused) {
      violations.add(key + " was reported as used for another request");
    }
  }

  private void dispatch(ClaimEntry entry, String key, ClaimToken token) {
    int kind = random.nextInt(10);
    if (kind < 2) {
      entry.claims().settle(token, new ClaimSettlement.NotRun());
      return;
    }
    int run = runs.merge(key, 1, Integer::sum);
    if (run > 1) {
      violations.add(key + " ran " + run + " times");
    }
    String answer = key + " run " + run;
    answers.put(key, Set.of(answer));
    if (kind < 4) {
      entry.claims().settle(token, new ClaimSettlement.Unknown());
    } else {
      HeldAnswer held = new HeldAnswer(200, List.of(), answer.getBytes(UTF_8));
      entry
          .loop()
          .schedule(
              random.nextLong(MAX_WORK_MILLIS),
              () -> entry.claims().settle(token, new ClaimSettlement.Answered(held)));
    }
  }

  private void recover() {
    clearFaults();
    entries.values().forEach(entry -> entry.loop().resume());
    timeline.advance(RECOVERY_MILLIS);
  }

  private void clearFaults() {
    store.setDown(false);
    store.setLostAnswerProbability(0);
    store.setMaxDelayMillis(1);
    network.healPartitions();
    network.setFaults(NetworkFaults.none());
    entries.values().forEach(entry -> entry.membership().set(ENTRIES));
  }

  private void checkClaimable(String key) {
    for (String id : ENTRIES) {
      ClaimEntry entry = entries.get(id);
      CompletableFuture<ClaimResult> claim =
          entry
              .claims()
              .claim(
                  new ClaimKey("orders", key),
                  key.hashCode(),
                  clock.millis() + CALL_TIMEOUT_MILLIS);
      timeline.advance(2 * CALL_TIMEOUT_MILLIS);
      if (!claim.isDone() || claim.join() instanceof ClaimResult.Unavailable) {
        violations.add(key + " cannot be claimed at " + id + " after all faults were cleared");
        continue;
      }
      handleResult(entry, key, claim.join());
      timeline.advance(MAX_WORK_MILLIS);
    }
  }

  private static String keyName(int number) {
    return "order-" + number;
  }
}
