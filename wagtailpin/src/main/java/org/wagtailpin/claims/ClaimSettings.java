package org.wagtailpin.claims;

/**
 * The settings of {@link ShardedClaims}.
 *
 * @param shards the number of shards of the key space, 1 to 256; must be the same in all entries,
 *     and must not change while unexpired claims exist
 * @param windowMillis the minimum time for which a claimed key is refused, in milliseconds
 * @param batchIntervalMillis the average minimum interval between two batches of one shard, in
 *     milliseconds; the fleet writes at most {@code shards / batchIntervalMillis} batches per
 *     millisecond, apart from short bursts
 * @param maxClaimWaitMillis the maximum time for which a claim waits for its batch, in milliseconds
 * @param maxReplayWaitMillis the maximum time for which a duplicate waits for the answer of the
 *     first call, in milliseconds
 * @param maxSegmentBytes the size above which a segment of the log is closed, in bytes
 * @param maxPendingPerShard the maximum number of claims of one shard that wait for a batch
 * @param maxHeldAnswerBytes the maximum total size of the answers held in memory, in bytes
 */
public record ClaimSettings(
    int shards,
    long windowMillis,
    long batchIntervalMillis,
    long maxClaimWaitMillis,
    long maxReplayWaitMillis,
    int maxSegmentBytes,
    int maxPendingPerShard,
    long maxHeldAnswerBytes) {

  /** Maximum number of shards. */
  public static final int MAX_SHARDS = 256;

  private static final int DEFAULT_SHARDS = 16;
  private static final long DEFAULT_WINDOW_MILLIS = 600_000;
  private static final long DEFAULT_BATCH_INTERVAL_MILLIS = 80;
  private static final long DEFAULT_MAX_CLAIM_WAIT_MILLIS = 1_000;
  private static final long DEFAULT_MAX_REPLAY_WAIT_MILLIS = 2_000;
  private static final int DEFAULT_MAX_SEGMENT_BYTES = 1_024;
  private static final int DEFAULT_MAX_PENDING_PER_SHARD = 2_000;
  private static final long DEFAULT_MAX_HELD_ANSWER_BYTES = 32L * 1024 * 1024;

  /**
   * Validates the settings.
   *
   * @throws IllegalArgumentException if a setting is out of range, or if the window is not longer
   *     than the maximum claim wait
   */
  public ClaimSettings {
    if (shards < 1 || shards > MAX_SHARDS) {
      throw new IllegalArgumentException("shards must be 1 to " + MAX_SHARDS + ": " + shards);
    }
    if (windowMillis <= maxClaimWaitMillis) {
      throw new IllegalArgumentException(
          "the claim window must be longer than the maximum claim wait");
    }
    if (batchIntervalMillis < 1 || maxSegmentBytes < 1 || maxPendingPerShard < 1) {
      throw new IllegalArgumentException(
          "batch interval, segment size and pending-claim limit must be at least 1");
    }
  }

  /** Returns the default settings: 16 shards and a window of 10 minutes. */
  public static ClaimSettings defaults() {
    return new ClaimSettings(
        DEFAULT_SHARDS,
        DEFAULT_WINDOW_MILLIS,
        DEFAULT_BATCH_INTERVAL_MILLIS,
        DEFAULT_MAX_CLAIM_WAIT_MILLIS,
        DEFAULT_MAX_REPLAY_WAIT_MILLIS,
        DEFAULT_MAX_SEGMENT_BYTES,
        DEFAULT_MAX_PENDING_PER_SHARD,
        DEFAULT_MAX_HELD_ANSWER_BYTES);
  }
}
