package org.wagtailpin.claims;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WatchResult;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

/**
 * Store that delays calls and responses and loses responses; a call whose response is lost may take
 * effect late or never.
 */
final class FaultInjectingStore implements Store {

  private static final long TIMEOUT_MILLIS = 200;
  private static final long MAX_EFFECT_DELAY_MILLIS = 5_000;
  private static final Fault FAULT = new Fault(Step.WRITE_STORE, Peer.STORE, "", "injected");

  private final Store store;
  private final ControlLoop timeline;
  private final UniformRandomProvider random;
  private double lostAnswerProbability;
  private boolean down;
  private long maxDelayMillis = 5;

  FaultInjectingStore(Store store, ControlLoop timeline, UniformRandomProvider random) {
    this.store = store;
    this.timeline = timeline;
    this.random = random;
  }

  void setLostAnswerProbability(double probability) {
    this.lostAnswerProbability = probability;
  }

  void setDown(boolean isDown) {
    this.down = isDown;
  }

  void setMaxDelayMillis(long millis) {
    this.maxDelayMillis = millis;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return call(() -> store.read(key), new ReadResult.Failed(FAULT), new ReadResult.Failed(FAULT));
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return call(
        () -> store.list(prefix), new ListResult.Failed(FAULT), new ListResult.Failed(FAULT));
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    return call(
        () -> store.write(key, value, condition, lease),
        new WriteResult.NotWritten(FAULT),
        new WriteResult.Unknown(FAULT));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return call(
        () -> store.delete(key, condition),
        new WriteResult.NotWritten(FAULT),
        new WriteResult.Unknown(FAULT));
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return call(
        () -> store.grantLease(ttlMillis),
        new LeaseResult.Failed(FAULT),
        new LeaseResult.Failed(FAULT));
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return call(
        () -> store.renewLease(lease),
        new LeaseResult.Failed(FAULT),
        new LeaseResult.Failed(FAULT));
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return call(
        () -> store.revokeLease(lease),
        new LeaseResult.Failed(FAULT),
        new LeaseResult.Failed(FAULT));
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    return store.watch(prefix, afterRevision, waitMillis);
  }

  private <T> CompletableFuture<T> call(
      Supplier<CompletableFuture<T>> action, T refused, T timedOut) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    if (down) {
      timeline.schedule(1, () -> answer.complete(refused));
    } else if (random.nextDouble() < lostAnswerProbability) {
      loseAnswer(action);
      timeline.schedule(TIMEOUT_MILLIS, () -> answer.complete(timedOut));
    } else {
      timeline.schedule(randomDelayMillis(), () -> answerLater(action.get(), answer));
    }
    return answer;
  }

  // The call takes effect before its timeout, possibly long after it, or never.
  private <T> void loseAnswer(Supplier<CompletableFuture<T>> action) {
    int kind = random.nextInt(3);
    if (kind < 2) {
      long effectMillis =
          kind == 0 ? randomDelayMillis() : random.nextLong(MAX_EFFECT_DELAY_MILLIS);
      timeline.schedule(
          effectMillis,
          () -> {
            CompletableFuture<T> unused = action.get();
          });
    }
  }

  private <T> void answerLater(CompletableFuture<T> result, CompletableFuture<T> answer) {
    long answerMillis = randomDelayMillis();
    CompletableFuture<Void> unused =
        result.thenAccept(value -> timeline.schedule(answerMillis, () -> answer.complete(value)));
  }

  private long randomDelayMillis() {
    return random.nextLong(maxDelayMillis + 1);
  }
}
