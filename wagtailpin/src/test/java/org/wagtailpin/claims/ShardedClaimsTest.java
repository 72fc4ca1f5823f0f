package org.wagtailpin.claims;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ShardedClaimsTest {

  private static final List<String> BOTH = List.of("e1", "e2");

  private final ClaimFixture fixture = new ClaimFixture();

  @Test
  void aDuplicateAtAnotherEntryGetsTheHeldAnswer() {
    ClaimEntry first = fixture.start("e1", BOTH);
    ClaimEntry second = fixture.start("e2", BOTH);
    fixture.settleAnswered(first, fixture.claim(first, "k"), "made");

    ClaimResult result = fixture.claim(second, "k");

    HeldAnswer answer = ((ClaimResult.Replayed) result).answer();
    assertThat(answer.status()).isEqualTo(201);
    assertThat(answer.headers()).containsExactly(new HeldHeader("Location", "/o/1"));
    assertThat(new String(answer.body(), UTF_8)).isEqualTo("made");
  }

  @Test
  void aDuplicateWaitsForWorkThatStillRuns() {
    ClaimEntry first = fixture.start("e1", BOTH);
    ClaimEntry second = fixture.start("e2", BOTH);
    ClaimResult granted = fixture.claim(first, "k");

    CompletableFuture<ClaimResult> result =
        fixture.claimAsync(second, "k", ClaimFixture.FINGERPRINT);
    fixture.timeline().advance(500);
    assertThat(result.isDone()).isFalse();
    fixture.settleAnswered(first, granted, "made");

    assertThat(result.join()).isInstanceOf(ClaimResult.Replayed.class);
  }

  @Test
  void aDuplicateEndsAsAlreadyDispatchedWhenTheWorkOutlastsItsWait() {
    ClaimEntry first = fixture.start("e1", BOTH);
    ClaimEntry second = fixture.start("e2", BOTH);
    fixture.claim(first, "k");

    assertThat(fixture.claim(second, "k")).isInstanceOf(ClaimResult.AlreadyDispatched.class);
  }

  @Test
  void workThatWasNotRunCanBeClaimedAgainAtOnce() {
    ClaimEntry first = fixture.start("e1", BOTH);
    ClaimEntry second = fixture.start("e2", BOTH);
    fixture.settle(first, fixture.claim(first, "k"), new ClaimSettlement.NotRun());

    assertThat(fixture.claim(second, "k")).isInstanceOf(ClaimResult.Granted.class);
  }

  @Test
  void workWithAnUnknownOutcomeStaysClaimed() {
    ClaimEntry first = fixture.start("e1", BOTH);
    ClaimEntry second = fixture.start("e2", BOTH);
    fixture.settle(first, fixture.claim(first, "k"), new ClaimSettlement.Unknown());

    assertThat(fixture.claim(second, "k")).isInstanceOf(ClaimResult.AlreadyDispatched.class);
  }

  @Test
  void theSameKeyForAnotherRequestIsRefused() {
    ClaimEntry entry = fixture.start("e1", List.of("e1"));
    fixture.claim(entry, "k");

    CompletableFuture<ClaimResult> result =
        fixture.claimAsync(entry, "k", ClaimFixture.FINGERPRINT + 1);
    fixture.timeline().advance(100);

    assertThat(result.join()).isInstanceOf(ClaimResult.KeyReused.class);
  }

  @Test
  void noClaimIsGrantedWhileTheStoreIsDown() {
    ClaimEntry entry = fixture.start("e1", List.of("e1"));
    fixture.store().setDown(true);

    ClaimResult refused = fixture.claim(entry, "k");
    fixture.store().setDown(false);
    fixture.timeline().advance(5_000);

    assertThat(refused).isInstanceOf(ClaimResult.Unavailable.class);
    assertThat(fixture.claim(entry, "k")).isInstanceOf(ClaimResult.Granted.class);
  }

  @Test
  void aWrittenClaimThatWasReportedUnavailableIsReleasedLater() {
    ClaimEntry entry = fixture.start("e1", List.of("e1"));
    fixture.claim(entry, "other");
    fixture.store().setLostAnswerProbability(1);

    ClaimResult refused = fixture.claim(entry, "k");
    fixture.store().setLostAnswerProbability(0);
    fixture.timeline().advance(10_000);

    assertThat(refused).isInstanceOf(ClaimResult.Unavailable.class);
    assertThat(fixture.claim(entry, "k")).isInstanceOf(ClaimResult.Granted.class);
  }

  @Test
  void aResumedOwnerDoesNotGrantAKeyThatItsSuccessorGranted() {
    ClaimEntry old = fixture.start("e1", List.of("e1"));
    ClaimEntry successor = fixture.start("e2", List.of("e2"));
    fixture.claim(old, "other");
    CompletableFuture<ClaimResult> stale = fixture.claimAsync(old, "k", ClaimFixture.FINGERPRINT);
    old.loop().pause();

    assertThat(fixture.claim(successor, "k")).isInstanceOf(ClaimResult.Granted.class);
    old.loop().resume();
    fixture.timeline().advance(5_000);

    assertThat(stale.join()).isNotInstanceOf(ClaimResult.Granted.class);
    assertThat(fixture.claim(old, "k")).isInstanceOf(ClaimResult.AlreadyDispatched.class);
  }

  @Test
  void aClaimWhoseReplyWasLostIsReleasedByItsClaimant() {
    ClaimEntry owner = fixture.start("e1", List.of("e1"));
    ClaimEntry claimant = fixture.start("e2", List.of("e1"));
    CompletableFuture<ClaimResult> unanswered =
        fixture.claimAsync(claimant, "k", ClaimFixture.FINGERPRINT);
    fixture.timeline().advance(2);
    fixture.network().addPartition(Set.of("e1"), Set.of("e2"));
    fixture.timeline().advance(10_000);
    fixture.network().healPartitions();

    assertThat(unanswered.join()).isInstanceOf(ClaimResult.Unavailable.class);
    assertThat(owner.claims().counters().claimsWritten()).isEqualTo(1);
    assertThat(fixture.claim(owner, "k")).isInstanceOf(ClaimResult.Granted.class);
  }

  @Test
  void aClaimIsKeptForTheWholeWindowAcrossOwnersAndThenExpires() {
    ClaimEntry first = fixture.start("e1", List.of("e1"));
    long claimedMillis = fixture.clock().millis();
    fixture.claim(first, "k");
    for (int i = 0; i < 20; i++) {
      fixture.claim(first, "filler-" + i);
    }
    assertThat(fixture.storedKeys()).isAtLeast(3);
    first.loop().stop();
    ClaimEntry second = fixture.start("e2", List.of("e2"));

    advanceTo(claimedMillis + ClaimFixture.WINDOW_MILLIS - 3_000);
    assertThat(fixture.claim(second, "k")).isInstanceOf(ClaimResult.AlreadyDispatched.class);
    ClaimEntry third = fixture.start("e3", List.of("e3"));
    assertThat(fixture.claim(third, "k")).isInstanceOf(ClaimResult.AlreadyDispatched.class);

    advanceTo(claimedMillis + ClaimFixture.WINDOW_MILLIS + 240_000);
    ClaimEntry fourth = fixture.start("e4", List.of("e4"));
    assertThat(fixture.claim(fourth, "k")).isInstanceOf(ClaimResult.Granted.class);
  }

  @Test
  void flushWritesTheClaimsThatALeavingOwnerAccepted() {
    ClaimEntry entry = fixture.start("e1", List.of("e1"));
    CompletableFuture<ClaimResult> claim = fixture.claimAsync(entry, "k", ClaimFixture.FINGERPRINT);
    fixture.timeline().runDue();

    CompletableFuture<Boolean> flushed = entry.claims().flush(1_000);
    fixture.timeline().advance(1_000);

    assertThat(flushed.join()).isTrue();
    assertThat(claim.join()).isInstanceOf(ClaimResult.Granted.class);
  }

  @Test
  void theBackupOwnerRecordsClaimsWhileTheOwnerIsUnreachable() {
    ClaimEntry first = fixture.start("e1", BOTH);
    ClaimEntry second = fixture.start("e2", BOTH);
    String owner = new ShardOwners(first.membership()).owner(0).orElseThrow();
    ClaimEntry backupOwner = owner.equals("e1") ? second : first;
    backupOwner.messenger().refuse(owner);

    assertThat(fixture.claim(backupOwner, "k")).isInstanceOf(ClaimResult.Granted.class);
    assertThat(fixture.claim(owner.equals("e1") ? first : second, "k"))
        .isInstanceOf(ClaimResult.AlreadyDispatched.class);
  }

  private void advanceTo(long millis) {
    fixture.timeline().advance(millis - fixture.clock().millis());
  }
}
