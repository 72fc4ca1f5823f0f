package org.wagtailpin.store.memory;

import java.util.Set;

/**
 * The faults that a store is to show.
 *
 * @param down whether calls are turned away before they reach the store
 * @param delayMaxMillis the longest time that a request or an answer travels, in milliseconds
 * @param lostRequestShare share of calls that never reach the store, 0 to 1
 * @param lostAnswerShare share of calls that take effect but whose answer is lost, 0 to 1
 * @param lostWriteAnswerShare share of writes that take effect but whose answer is lost, 0 to 1
 * @param staleShare share of reads answered with an earlier state, 0 to 1
 * @param staleMaxMillis the greatest age of such a state, in milliseconds
 * @param watchLagMillis how much later the changes of a watch are told, in milliseconds
 * @param compactedShare share of watches told that their changes are no longer held, 0 to 1
 * @param partitionedClients the names of the clients that are cut off from the store
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

  /** Copies the set. */
  public StoreFaults {
    partitionedClients = Set.copyOf(partitionedClients);
  }

  /** Returns no faults. */
  public static StoreFaults none() {
    return builder().build();
  }

  /** Returns a builder that begins without faults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Gathers faults; each method returns the builder itself. */
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
     * Sets whether calls are turned away.
     *
     * @param isDown whether they are
     */
    public Builder down(boolean isDown) {
      down = isDown;
      return this;
    }

    /**
     * Makes requests and answers slow.
     *
     * @param maxMillis the longest time that each travels, in milliseconds
     */
    public Builder delay(long maxMillis) {
      delayMaxMillis = maxMillis;
      return this;
    }

    /**
     * Loses requests on their way.
     *
     * @param share share of requests lost, 0 to 1
     */
    public Builder lostRequests(double share) {
      lostRequestShare = share;
      return this;
    }

    /**
     * Loses answers on their way.
     *
     * @param share share of answers lost, 0 to 1
     */
    public Builder lostAnswers(double share) {
      lostAnswerShare = share;
      return this;
    }

    /**
     * Loses answers to writes on their way.
     *
     * @param share share of answers to writes lost, 0 to 1
     */
    public Builder lostWriteAnswers(double share) {
      lostWriteAnswerShare = share;
      return this;
    }

    /**
     * Answers reads with earlier states.
     *
     * @param share share of reads that are old, 0 to 1
     * @param maxMillis the greatest age, in milliseconds
     */
    public Builder staleReads(double share, long maxMillis) {
      staleShare = share;
      staleMaxMillis = maxMillis;
      return this;
    }

    /**
     * Lets watches fall behind.
     *
     * @param lagMillis how much later changes are told, in milliseconds
     * @param share share of watches told that their changes are no longer held, 0 to 1
     */
    public Builder slowWatch(long lagMillis, double share) {
      watchLagMillis = lagMillis;
      compactedShare = share;
      return this;
    }

    /**
     * Cuts clients off from the store.
     *
     * @param clients the names of the clients
     */
    public Builder partition(Set<String> clients) {
      partitionedClients = Set.copyOf(clients);
      return this;
    }

    /** Returns the faults gathered. */
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
