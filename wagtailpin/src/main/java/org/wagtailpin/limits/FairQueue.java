package org.wagtailpin.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * A queue that orders work by the weighted fair shares of the caller groups.
 *
 * <p>Start-time fair queueing: the start tag of an item is the finish tag of the item before it in
 * its group, or the current virtual time if that is later, and the item with the lowest start tag
 * goes first. Deep calls use up less of their group's share, so they go sooner. Work that may wait
 * goes behind all other work until its latest start comes near. Not safe for concurrent use.
 *
 * @param <W> the type of work
 */
public final class FairQueue<W extends QueuedWork> {

  /** From how many groups on those are forgotten that have no effect on the order any more. */
  private static final int MIN_FORGET_GROUPS = 64;

  /** How many groups are remembered for what they have used, though they have nothing queued. */
  private static final int MAX_IDLE_GROUPS = 1_024;

  private record Tagged<W>(W work, double startTag, long sequence) {}

  private final PriorityQueue<Tagged<W>> regular =
      new PriorityQueue<>(
          Comparator.<Tagged<W>>comparingDouble(Tagged::startTag).thenComparing(Tagged::sequence));
  private final PriorityQueue<W> deferrable =
      new PriorityQueue<>(Comparator.comparingLong(QueuedWork::latestStartMillis));
  private final Map<String, Double> finishTags = new HashMap<>();
  private double virtualTime;
  private long nextSequence;
  private int forgetGroups = MIN_FORGET_GROUPS;

  /**
   * Adds an item.
   *
   * @param work the item
   */
  public void add(W work) {
    if (work.mayWait()) {
      deferrable.add(work);
      return;
    }
    double startTag =
        Math.max(virtualTime, finishTags.getOrDefault(work.callerGroup(), virtualTime));
    double cost = 1 / (work.weight() * (1 + work.depth()));
    finishTags.put(work.callerGroup(), startTag + cost);
    regular.add(new Tagged<>(work, startTag, nextSequence++));
    if (finishTags.size() > forgetGroups) {
      forgetGroups();
    }
  }

  private void forgetGroups() {
    // The next start tag of such a group is the virtual time with or without its finish tag.
    finishTags.values().removeIf(tag -> tag <= virtualTime);
    if (finishTags.size() > MAX_IDLE_GROUPS) {
      finishTags.keySet().retainAll(sizeByGroup().keySet());
    }
    forgetGroups = Math.max(MIN_FORGET_GROUPS, 2 * finishTags.size());
  }

  /** Returns how many groups are remembered. */
  int groups() {
    return finishTags.size();
  }

  /** Returns how many items of each group are queued, without those that may wait. */
  Map<String, Integer> sizeByGroup() {
    Map<String, Integer> sizes = new HashMap<>();
    regular.forEach(tagged -> sizes.merge(tagged.work().callerGroup(), 1, Integer::sum));
    return sizes;
  }

  /**
   * Returns the next item without removing it.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @param urgentMillis how long before its latest start work that may wait goes first, in
   *     milliseconds
   */
  public Optional<W> peek(long nowMillis, double urgentMillis) {
    dropWithdrawn();
    if (deferrableFirst(nowMillis, urgentMillis)) {
      return Optional.ofNullable(deferrable.peek());
    }
    return Optional.ofNullable(regular.peek()).map(Tagged::work);
  }

  /**
   * Removes the item that the last {@link #peek} returned.
   *
   * @param work the item
   */
  public void remove(W work) {
    if (work.mayWait()) {
      deferrable.remove(work);
      return;
    }
    Tagged<W> head = regular.poll();
    virtualTime = Math.max(virtualTime, head.startTag());
    if (regular.isEmpty()) {
      finishTags.clear();
    }
  }

  private boolean deferrableFirst(long nowMillis, double urgentMillis) {
    W first = deferrable.peek();
    if (first == null) {
      return false;
    }
    return regular.isEmpty() || first.latestStartMillis() - nowMillis <= urgentMillis;
  }

  private void dropWithdrawn() {
    while (!regular.isEmpty() && !regular.peek().work().waiting()) {
      regular.poll();
    }
    while (!deferrable.isEmpty() && !deferrable.peek().waiting()) {
      deferrable.poll();
    }
  }

  /**
   * Removes all items that no longer wait or whose latest start has passed.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the items whose latest start has passed
   */
  public List<W> removeExpired(long nowMillis) {
    List<W> expired = new ArrayList<>();
    regular.removeIf(tagged -> withdrawnOrExpired(tagged.work(), nowMillis, expired));
    deferrable.removeIf(work -> withdrawnOrExpired(work, nowMillis, expired));
    return expired;
  }

  private boolean withdrawnOrExpired(W work, long nowMillis, List<W> expired) {
    if (!work.waiting()) {
      return true;
    }
    if (work.latestStartMillis() >= nowMillis) {
      return false;
    }
    expired.add(work);
    return true;
  }

  /** Returns how many items are queued, including those that no longer wait. */
  public int size() {
    return regular.size() + deferrable.size();
  }
}
