package org.wagtailpin.store.memory;

import java.util.Set;

/**
 * Faults that a {@link FaultyStore} injects.
 *
 * @param down whether calls are refused before they reach the store
 * @param delayMaxMillis the maximum delay of each request and each response, in milliseconds
 * @param lostRequestShare the fraction of calls that never reach the store, 0 to 1
 * @param lostAnswerShare the fraction of calls that take effect but whose response is lost, 0 to 1
 * @param lostWriteAnswerShare the fraction of writes that take effect but whose response is lost, 0
 *     to 1; applied in addition to {@code lostAnswerShare}
 * @param staleShare the fraction of reads that return an earlier state, 0 to 1
 * @param staleMaxMillis the maximum age of such a state, in milliseconds
 * @param watchLagMillis the additional delay of watch results, in milliseconds
 * @param compactedShare the fraction of watches that end in {@link
 *     org.wagtailpin.store.WatchResult.Compacted}, 0 to 1
 * @param partitionedClients the names of the clients that cannot exchange messages with the store
 */
public record StoreFaults(
    boolean down,
    long delayMaxMillis,
    double lostRequestShare,
    double lostAnswerShare,
    double lostWriteAnswerShare,
    double staleShare,
    long staleMaxMillis,
    long watchLagMillis,
    double compactedShare,
    Set<String> partitionedClients) {

  /** Copies the set of clients. */
  public StoreFaults {
    partitionedClients = Set.copyOf(partitionedClients);
  }

  /** Returns faults that have no effect. */
  public static StoreFaults none() {
    return builder().build();
  }

  /** Returns a builder that initially has no faults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of faults; each setter returns the builder itself. */
  public static final class Builder {
    private boolean down;
    private long delayMaxMillis;
    private double lostRequestShare;
    private double lostAnswerShare;
    private double lostWriteAnswerShare;
    private double staleShare;
    private long staleMaxMillis;
    private long watchLagMillis;
    private double compactedShare;
    private Set<String> partitionedClients = Set.of();

    private Builder() {}

    /**
     * Sets whether calls are refused before they reach the store.
     *
     * @param isDown true to refuse calls
     */
    public Builder down(boolean isDown) {
      down = isDown;
      return this;
    }

    /**
     * Delays requests and responses.
     *
     * @param maxMillis the maximum delay of each, in milliseconds
     */
    public Builder delay(long maxMillis) {
      delayMaxMillis = maxMillis;
      return this;
    }

    /**
     * Drops requests before they reach the store.
     *
     * @param share the fraction of requests dropped, 0 to 1
     */
    public Builder lostRequests(double share) {
      lostRequestShare = share;
      return this;
    }

    /**
     * Drops responses to calls of all kinds.
     *
     * @param share the fraction of responses dropped, 0 to 1
     */
    public Builder lostAnswers(double share) {
      lostAnswerShare = share;
      return this;
    }

    /**
     * Drops responses to writes and deletions.
     *
     * @param share the fraction of these responses dropped, 0 to 1
     */
    public Builder lostWriteAnswers(double share) {
      lostWriteAnswerShare = share;
      return this;
    }

    /**
     * Returns earlier states to reads and lists.
     *
     * @param share the fraction of stale reads, 0 to 1
     * @param maxMillis the maximum age of the returned state, in milliseconds
     */
    public Builder staleReads(double share, long maxMillis) {
      staleShare = share;
      staleMaxMillis = maxMillis;
      return this;
    }

    /**
     * Makes watches fall behind.
     *
     * @param lagMillis the additional delay of watch results, in milliseconds
     * @param share the fraction of watches that end as compacted, 0 to 1
     */
    public Builder slowWatch(long lagMillis, double share) {
      watchLagMillis = lagMillis;
      compactedShare = share;
      return this;
    }

    /**
     * Drops all messages between the given clients and the store.
     *
     * @param clients the names of the partitioned clients; replaces the earlier set
     */
    public Builder partition(Set<String> clients) {
      partitionedClients = Set.copyOf(clients);
      return this;
    }

    /** Returns the faults set so far. */
    public StoreFaults build() {
      return new StoreFaults(
          down,
          delayMaxMillis,
          lostRequestShare,
          lostAnswerShare,
          lostWriteAnswerShare,
          staleShare,
          staleMaxMillis,
          watchLagMillis,
          compactedShare,
          partitionedClients);
    }
  }
}
