package org.wagtailpin.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Work in the order of its priority, and within a priority in the order of a {@link FairQueue}.
 *
 * <p>For a service whose slots are all busy: what is most urgent goes first. So that no work waits
 * without end, work of a lower priority goes first after it was passed over {@value
 * #MAX_PASSED_OVER} times, which leaves it at least one turn in {@value #MAX_PASSED_OVER} and one.
 * Not safe for concurrent use.
 *
 * @param <W> the type of work
 */
public final class PriorityQueues<W extends QueuedWork> {

  /** How often work of a lower priority is passed over before it goes first. */
  public static final int MAX_PASSED_OVER = 7;

  private static final class Level<W extends QueuedWork> {
    private final FairQueue<W> queue = new FairQueue<>();
    private int passedOver;
  }

  private final NavigableMap<Integer, Level<W>> levels = new TreeMap<>();

  /**
   * Adds an item.
   *
   * @param work the item
   */
  public void add(W work) {
    levels.computeIfAbsent(work.priority(), priority -> new Level<>()).queue.add(work);
  }

  /**
   * Returns the next item without removing it.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @param urgentMillis how long before its latest start work that may wait goes first, in
   *     milliseconds
   */
  public Optional<W> peek(long nowMillis, double urgentMillis) {
    Optional<W> first = Optional.empty();
    for (Level<W> level : levels.values()) {
      Optional<W> head = level.queue.peek(nowMillis, urgentMillis);
      boolean itsTurn = first.isEmpty() || level.passedOver >= MAX_PASSED_OVER;
      if (head.isPresent() && itsTurn) {
        first = head;
      }
    }
    return first;
  }

  /**
   * Removes the item that the last {@link #peek} returned.
   *
   * @param work the item
   */
  public void remove(W work) {
    levels.forEach(
        (priority, level) -> {
          if (priority == work.priority()) {
            level.queue.remove(work);
            level.passedOver = 0;
          } else if (priority > work.priority() && level.queue.size() > 0) {
            level.passedOver++;
          }
        });
  }

  /**
   * Removes all items that no longer wait or whose latest start has passed.
   *
   * @param nowMillis the current monotonic time, in milliseconds
   * @return the items whose latest start has passed
   */
  public List<W> removeExpired(long nowMillis) {
    List<W> expired = new ArrayList<>();
    levels.values().forEach(level -> expired.addAll(level.queue.removeExpired(nowMillis)));
    return expired;
  }

  /**
   * Adds how many items of each group are queued, without those that may wait.
   *
   * @param sizes receives the numbers by priority and group
   */
  public void addSizesByGroup(Map<Integer, Map<String, Integer>> sizes) {
    levels.forEach(
        (priority, level) -> {
          Map<String, Integer> ofLevel = sizes.computeIfAbsent(priority, key -> new HashMap<>());
          level
              .queue
              .sizeByGroup()
              .forEach((group, size) -> ofLevel.merge(group, size, Integer::sum));
        });
  }

  /** Returns how many items are queued, including those that no longer wait. */
  public int size() {
    return sizeAhead(Integer.MAX_VALUE);
  }

  /**
   * Returns how many queued items go before a new one of a priority.
   *
   * @param priority the priority, 0 for the most urgent
   */
  public int sizeAhead(int priority) {
    int size = 0;
    for (Level<W> level : levels.headMap(priority, true).values()) {
      size += level.queue.size();
    }
    return size;
  }
}
