package org.wagtailpin.benchmark.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.claims.ClaimCounters;
import org.wagtailpin.claims.ClaimKey;
import org.wagtailpin.claims.ClaimResult;
import org.wagtailpin.claims.ClaimSettings;
import org.wagtailpin.claims.ClaimSettlement;
import org.wagtailpin.claims.ShardedClaims;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.entrypeer.PeerIdentity;
import org.wagtailpin.entrypeer.memory.MemoryPeerNetwork;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.MembershipView;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.memory.MemoryStore;

/**
 * Simulated fleet of entries that claim new idempotency keys at a rate, on a manual clock.
 *
 * <p>Arrivals are a Poisson process spread evenly over all entries. The store answers after a fixed
 * delay; messages between entries take 1 ms. Only the time per claim is real: it is the time that
 * this machine takes for the simulation.
 */
final class ClaimLoad {

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long CALL_DEADLINE_MILLIS = 5_000;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final ManualClock clock = new ManualClock(0);
  private final ManualControlLoop controlLoop = new ManualControlLoop(clock);
  private final UniformRandomProvider random;
  private final MemoryStore memoryStore = new MemoryStore(clock, controlLoop);
  private final List<ShardedClaims> entries = new ArrayList<>();
  private final Histogram waitMillis = new Histogram(MAX_WAIT_MILLIS, SIGNIFICANT_DIGITS);
  private long granted;
  private long refused;
  private long claimed;

  ClaimLoad(int entryCount, ClaimSettings settings, long storeDelayMillis, long seed) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    DelayedStore store = new DelayedStore(memoryStore, controlLoop, storeDelayMillis);
    MemoryPeerNetwork network = new MemoryPeerNetwork(controlLoop, random);
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < entryCount; i++) {
      members.add(new Member("entry-" + i, 1, "127.0.0.1", 1, "tunis", "tunis-a", false));
    }
    for (Member member : members) {
      MembershipView view = new MembershipView(1, member.id(), members);
      entries.add(
          new ShardedClaims(
              settings,
              1,
              store,
              network.connect(new PeerIdentity(member.id(), 1), controlLoop),
              () -> view,
              clock,
              controlLoop,
              random));
    }
  }

  /**
   * Runs the load for some simulated seconds. The result covers this run only; the claims of
   * earlier runs stay in the store.
   */
  ClaimLoadResult run(double claimsPerSecond, int seconds) {
    waitMillis.reset();
    granted = 0;
    refused = 0;
    long writes = total(ClaimCounters::storeWrites);
    long bytes = total(ClaimCounters::bytesWritten);
    long reads = total(ClaimCounters::storeReads);
    long startNanos = System.nanoTime();
    send(claimsPerSecond, seconds);
    long elapsedNanos = System.nanoTime() - startNanos;
    return new ClaimLoadResult(
        claimsPerSecond,
        granted / (double) seconds,
        refused,
        (total(ClaimCounters::storeWrites) - writes) / (double) seconds,
        (total(ClaimCounters::storeReads) - reads) / (double) seconds,
        (total(ClaimCounters::bytesWritten) - bytes) / (double) seconds,
        waitMillis.getValueAtPercentile(50),
        waitMillis.getValueAtPercentile(99),
        elapsedNanos / 1e3 / Math.max(1, granted));
  }

  private void send(double claimsPerSecond, int seconds) {
    long endMillis = clock.millis() + seconds * (long) MILLIS_PER_SECOND;
    double nextMillis = clock.millis();
    while (nextMillis < endMillis) {
      controlLoop.advance(Math.max(0, (long) nextMillis - clock.millis()));
      claim();
      nextMillis -= Math.log1p(-random.nextDouble()) * MILLIS_PER_SECOND / claimsPerSecond;
    }
    controlLoop.advance(Math.max(0, endMillis - clock.millis()));
  }

  private void claim() {
    ShardedClaims entry = entries.get(random.nextInt(entries.size()));
    ClaimKey key = new ClaimKey("orders", "key-" + ++claimed);
    long requestedMillis = clock.millis();
    CompletableFuture<ClaimResult> result =
        entry.claim(key, claimed, requestedMillis + CALL_DEADLINE_MILLIS);
    CompletableFuture<Void> unused =
        result.thenAccept(ended -> recordResult(entry, ended, clock.millis() - requestedMillis));
  }

  private void recordResult(ShardedClaims entry, ClaimResult result, long waitedMillis) {
    if (result instanceof ClaimResult.Granted done) {
      granted++;
      waitMillis.recordValue(Math.min(MAX_WAIT_MILLIS, waitedMillis));
      entry.settle(done.token(), new ClaimSettlement.AnsweredNotHeld());
    } else {
      refused++;
    }
  }

  private long total(ToLongFunction<ClaimCounters> counter) {
    return entries.stream().map(ShardedClaims::counters).mapToLong(counter).sum();
  }

  /** Returns the number of store keys that hold claims. */
  int storedKeys() {
    return storedEntries().size();
  }

  /** Returns the total size of the values that hold claims in the store, in bytes. */
  long storedBytes() {
    return storedEntries().stream().mapToLong(entry -> entry.value().length).sum();
  }

  private List<StoreEntry> storedEntries() {
    return ((ListResult.Listed) memoryStore.list("claims/").join()).entries();
  }
}
