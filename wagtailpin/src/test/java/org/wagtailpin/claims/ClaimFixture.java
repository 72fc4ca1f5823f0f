package org.wagtailpin.claims;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.entrypeer.memory.MemoryPeerNetwork;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.memory.MemoryStore;

/** Entries, a store and a network, initially without faults, driven by a manual clock. */
final class ClaimFixture {

  static final long WINDOW_MILLIS = 600_000;
  static final long FINGERPRINT = 7;
  static final ClaimSettings SETTINGS =
      new ClaimSettings(1, WINDOW_MILLIS, 50, 1_000, 2_000, 400, 100, 1_000);

  private static final long SEED = 11;
  private static final long CALL_TIMEOUT_MILLIS = 3_000;

  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
  private final ManualClock clock = new ManualClock(1_000_000);
  private final ManualControlLoop timeline = new ManualControlLoop(clock);
  private final MemoryStore memory = new MemoryStore(clock, timeline);
  private final FaultInjectingStore store = new FaultInjectingStore(memory, timeline, random);
  private final MemoryPeerNetwork network = new MemoryPeerNetwork(timeline, random);
  private long incarnations;

  ManualControlLoop timeline() {
    return timeline;
  }

  ManualClock clock() {
    return clock;
  }

  FaultInjectingStore store() {
    return store;
  }

  MemoryPeerNetwork network() {
    return network;
  }

  ClaimEntry start(String id, List<String> live) {
    return new ClaimEntry(
        id, ++incarnations, live, SETTINGS, store, network, clock, timeline, random);
  }

  CompletableFuture<ClaimResult> claimAsync(ClaimEntry entry, String key, long fingerprint) {
    return entry
        .claims()
        .claim(new ClaimKey("orders", key), fingerprint, clock.millis() + CALL_TIMEOUT_MILLIS);
  }

  /** Claims a key and advances the clock by the timeout of a call. */
  ClaimResult claim(ClaimEntry entry, String key) {
    CompletableFuture<ClaimResult> result = claimAsync(entry, key, FINGERPRINT);
    timeline.advance(CALL_TIMEOUT_MILLIS);
    return result.join();
  }

  void settleAnswered(ClaimEntry entry, ClaimResult granted, String body) {
    HeldAnswer answer =
        new HeldAnswer(201, List.of(new HeldHeader("Location", "/o/1")), body.getBytes(UTF_8));
    settle(entry, granted, new ClaimSettlement.Answered(answer));
  }

  void settle(ClaimEntry entry, ClaimResult granted, ClaimSettlement settlement) {
    entry.claims().settle(((ClaimResult.Granted) granted).token(), settlement);
    timeline.advance(100);
  }

  int storedKeys() {
    return ((ListResult.Listed) memory.list("claims/").join()).entries().size();
  }

  MemoryStore memory() {
    return memory;
  }
}
