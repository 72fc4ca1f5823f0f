package org.wagtailpin.proof.model;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
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
import org.wagtailpin.store.WriteResult;
import org.wagtailpin.store.memory.MemoryStore;

/**
 * Replays a trace of the claims specification against {@link ShardedClaims}.
 *
 * <p>Each owner of the trace is an entry whose membership view contains only itself, so that it
 * acts as owner of every shard. Each attempt is a claim at its owner. Store writes are applied, and
 * their results returned, in the order of the trace.
 */
final class ClaimTraceRunner {

  private static final long STEP_MILLIS = 200;
  private static final long WAIT_MILLIS = 100_000;
  private static final long FINGERPRINT = 1;
  private static final long SEED = 5;
  private static final ClaimKey KEY = new ClaimKey("orders", "traced");
  private static final ClaimKey FIRST_KEY = new ClaimKey("orders", "first");
  private static final ClaimSettings SETTINGS =
      new ClaimSettings(1, 600_000, 10, WAIT_MILLIS, 100, 100_000, 100, 100_000);

  private final Trace trace;
  private final ManualClock clock = new ManualClock(0);
  private final ManualControlLoop controlLoop = new ManualControlLoop(clock);
  private final MemoryStore store = new MemoryStore(clock, controlLoop);
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
  private final MemoryPeerNetwork network = new MemoryPeerNetwork(controlLoop, random);
  private final Map<String, GatedStore> storesByOwner = new HashMap<>();
  private final Map<String, ShardedClaims> owners = new HashMap<>();
  private final Map<String, CompletableFuture<ClaimResult>> claims = new HashMap<>();

  ClaimTraceRunner(Trace trace) {
    this.trace = trace;
    for (String owner : trace.atoms("Owner", 0)) {
      startOwner(owner);
    }
    // Makes every owner read the log up to the same revision before the trace begins.
    owners.values().forEach(owner -> startClaim(owner, FIRST_KEY));
    storesByOwner.values().forEach(GatedStore::holdWrites);
  }

  private void startOwner(String owner) {
    Member self = new Member(owner, 1, "127.0.0.1", 1, "savo", "savo-a", false);
    MembershipView view = new MembershipView(1, owner, List.of(self));
    GatedStore gatedStore = new GatedStore(store);
    storesByOwner.put(owner, gatedStore);
    owners.put(
        owner,
        new ShardedClaims(
            SETTINGS,
            1,
            gatedStore,
            network.connect(new PeerIdentity(owner, 1), controlLoop),
            () -> view,
            clock,
            controlLoop,
            random));
  }

  private CompletableFuture<ClaimResult> startClaim(ShardedClaims owner, ClaimKey key) {
    CompletableFuture<ClaimResult> claim =
        owner.claim(key, FINGERPRINT, clock.millis() + 2 * WAIT_MILLIS);
    controlLoop.advance(STEP_MILLIS);
    return claim;
  }

  /** Executes each step and asserts that afterwards the granted claims are those of the trace. */
  void run() {
    for (int state = 0; state + 1 < trace.length(); state++) {
      executeStep(state);
      controlLoop.advance(STEP_MILLIS);
      assertGrantsMatchTrace(state + 1);
    }
  }

  private void executeStep(int state) {
    trace.addedAtoms("Sent", state).forEach(write -> sendWrite(write, state));
    for (String write : trace.addedAtoms("Applied", state)) {
      applyWrite(storeOfWriter(write, state));
    }
    for (String owner : owners.keySet()) {
      completeSettledWrite(owner, state);
    }
    for (String attempt : trace.addedAtoms("Dispatched", state)) {
      assertThat(claims.get(attempt).join()).isInstanceOf(ClaimResult.Granted.class);
    }
    for (String attempt : trace.addedAtoms("ProvedNotRun", state)) {
      ClaimResult.Granted granted = (ClaimResult.Granted) claims.get(attempt).join();
      owners
          .get(ownerOfAttempt(attempt, state))
          .settle(granted.token(), new ClaimSettlement.NotRun());
    }
  }

  private void sendWrite(String write, int state) {
    trace
        .fieldValue("Write", "claimed", write, state)
        .ifPresent(
            attempt ->
                claims.put(attempt, startClaim(owners.get(ownerOfAttempt(attempt, state)), KEY)));
    assertWithMessage("number of held writes after sending %s", write)
        .that(storeOfWriter(write, state).heldWriteCount())
        .isEqualTo(1);
  }

  // In the specification an owner may read the log at any time; the code reads it after a conflict
  // and then writes again.
  private void applyWrite(GatedStore gatedStore) {
    if (gatedStore.applyOldestWrite() instanceof WriteResult.Conflict) {
      gatedStore.completeOldestWrite();
      controlLoop.advance(STEP_MILLIS);
    }
    assertThat(gatedStore.applyOldestWrite()).isInstanceOf(WriteResult.Written.class);
  }

  // Returns the result of the owner's write in the step that settles it in the trace. The result is
  // a conflict if the head of the log has moved.
  private void completeSettledWrite(String owner, int state) {
    boolean unsettled = trace.fieldValue("Owner", "unsettled", owner, state).isPresent();
    if (unsettled && trace.fieldValue("Owner", "unsettled", owner, state + 1).isEmpty()) {
      storesByOwner.get(owner).completeOldestWrite();
    }
  }

  private GatedStore storeOfWriter(String write, int state) {
    return storesByOwner.get(trace.fieldValue("Write", "writer", write, state).orElseThrow());
  }

  private String ownerOfAttempt(String attempt, int state) {
    return trace.fieldValue("Attempt", "owner", attempt, state).orElseThrow();
  }

  private void assertGrantsMatchTrace(int state) {
    for (String attempt : trace.atoms("Attempt", state)) {
      CompletableFuture<ClaimResult> claim = claims.get(attempt);
      boolean granted =
          claim != null && claim.isDone() && claim.join() instanceof ClaimResult.Granted;
      assertWithMessage("%s granted in state %s", attempt, state)
          .that(granted)
          .isEqualTo(trace.atoms("Granted", state).contains(attempt));
    }
  }
}
