package org.wagtailpin.claims;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.control.ControlLoop;

/**
 * Notifies the owner of a key that an attempt did not run, with a limited number of retries.
 *
 * <p>Best effort: if all tries fail, the next claimant of the key queries the entry that made the
 * attempt.
 */
final class ReleaseSender {

  private static final int MAX_TRIES = 3;
  private static final long RETRY_DELAY_MILLIS = 500;

  private final ShardOwners owners;
  private final ClaimPeers peers;
  private final ControlLoop loop;

  ReleaseSender(ShardOwners owners, ClaimPeers peers, ControlLoop loop) {
    this.owners = owners;
    this.peers = peers;
    this.loop = loop;
  }

  /** Sends a release without waiting for the reply. */
  void send(ClaimKey key, int shard, String attempt) {
    send(key, shard, attempt, () -> {});
  }

  /** Sends a release and runs the callback after the first try, whether or not it succeeded. */
  void send(ClaimKey key, int shard, String attempt, Runnable callback) {
    trySend(key, shard, attempt, MAX_TRIES, callback);
  }

  private void trySend(ClaimKey key, int shard, String attempt, int triesLeft, Runnable callback) {
    Optional<String> owner = owners.owner(shard);
    CompletableFuture<Boolean> sent =
        owner.isPresent()
            ? peers.release(owner.get(), key, attempt)
            : CompletableFuture.completedFuture(false);
    Continuation.attach(
        sent,
        accepted -> {
          if (!accepted && triesLeft > 1) {
            loop.schedule(
                RETRY_DELAY_MILLIS, () -> trySend(key, shard, attempt, triesLeft - 1, () -> {}));
          }
          callback.run();
        });
  }
}
