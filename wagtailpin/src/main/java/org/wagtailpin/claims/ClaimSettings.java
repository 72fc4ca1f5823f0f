package org.wagtailpin.claims;

/**
 * The settings of {@link ShardedClaims}.
 *
 * @param shards the number of shards of the key space, 1 to 256; the same in all entries, and not
 *     to be changed while claims of the window stand
 * @param windowMillis how long a claimed key is refused at least, in milliseconds
 * @param batchIntervalMillis the least time between two batches of one shard, in milliseconds; the
 *     fleet writes at most {@code shards / batchIntervalMillis} batches a millisecond
 * @param maxClaimWaitMillis the longest time a claim waits for its batch, in milliseconds
 * @param maxReplayWaitMillis the longest time a second arrival waits for the first one's answer, in
 *     milliseconds
 * @param maxSegmentBytes the size at which a segment of the log is closed, in bytes
 * @param maxPendingPerShard how many claims of one shard may wait for a batch
 * @param maxHeldAnswerBytes the memory for the answers that are held, in bytes
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

  /** Greatest number of shards. */
  public static final int MAX_SHARDS = 256;

  private static final int DEFAULT_SHARDS = 16;
  private static final long DEFAULT_WINDOW_MILLIS = 600_000;
  private static final long DEFAULT_BATCH_INTERVAL_MILLIS = 80;
  private static final long DEFAULT_MAX_CLAIM_WAIT_MILLIS = 1_000;
  private static final long DEFAULT_MAX_REPLAY_WAIT_MILLIS = 2_000;
  private static final int DEFAULT_MAX_SEGMENT_BYTES = 1_024;
  private static final int DEFAULT_MAX_PENDING_PER_SHARD = 2_000;
  private static final long DEFAULT_MAX_HELD_ANSWER_BYTES = 32L * 1024 * 1024;

  /** Checks the ranges. */
  public ClaimSettings {
    if (shards < 1 || shards > MAX_SHARDS) {
      throw new IllegalArgumentException("shards must be 1 to " + MAX_SHARDS + ": " + shards);
    }
    if (windowMillis <= maxClaimWaitMillis) {
      throw new IllegalArgumentException("the window must be longer than a claim may wait");
    }
    if (batchIntervalMillis < 1 || maxSegmentBytes < 1 || maxPendingPerShard < 1) {
      throw new IllegalArgumentException("intervals, sizes and numbers must be at least 1");
    }
  }

  /** Returns the settings that hold where none are given. */
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
