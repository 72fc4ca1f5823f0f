package org.wagtailpin.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Work in the order of weighted fair shares of caller groups.
 *
 * <p>Start-time fair queueing: each item gets a virtual start time that follows the finish time of
 * its group's item before it, and the item with the least virtual start goes first. Deep calls use
 * up less of their group's share, so they go sooner. Work that may wait goes behind all other work
 * until its latest start comes near. For use by one thread at a time.
 *
 * @param <W> the type of work
 */
public final class FairQueue<W extends QueuedWork> {

  private record Tagged<W>(W work, double start, long number) {}

  private final PriorityQueue<Tagged<W>> prompt =
      new PriorityQueue<>(
          Comparator.<Tagged<W>>comparingDouble(Tagged::start).thenComparing(Tagged::number));
  private final PriorityQueue<W> patient =
      new PriorityQueue<>(Comparator.comparingLong(QueuedWork::latestStartMillis));
  private final Map<String, Double> groupFinish = new HashMap<>();
  private double virtualTime;
  private long added;

  /**
   * Adds an item.
   *
   * @param work the item
   */
  public void add(W work) {
    if (work.mayWait()) {
      patient.add(work);
      return;
    }
    double start = Math.max(virtualTime, groupFinish.getOrDefault(work.callerGroup(), virtualTime));
    double cost = 1 / (work.weight() * (1 + work.depth()));
    groupFinish.put(work.callerGroup(), start + cost);
    prompt.add(new Tagged<>(work, start, added++));
  }

  /**
   * Returns the item that goes next, which stays in the queue.
   *
   * @param nowMillis the time
   * @param urgentMillis how near its latest start makes work that may wait go first, in
   *     milliseconds
   */
  public Optional<W> peek(long nowMillis, double urgentMillis) {
    dropGone();
    if (patientFirst(nowMillis, urgentMillis)) {
      return Optional.ofNullable(patient.peek());
    }
    return Optional.ofNullable(prompt.peek()).map(Tagged::work);
  }

  /**
   * Takes out an item that {@link #peek} returned.
   *
   * @param work the item
   */
  public void remove(W work) {
    if (work.mayWait()) {
      patient.remove(work);
      return;
    }
    Tagged<W> head = prompt.poll();
    virtualTime = Math.max(virtualTime, head.start());
    if (prompt.isEmpty()) {
      groupFinish.clear();
    }
  }

  private boolean patientFirst(long nowMillis, double urgentMillis) {
    W first = patient.peek();
    if (first == null) {
      return false;
    }
    return prompt.isEmpty() || first.latestStartMillis() - nowMillis <= urgentMillis;
  }

  private void dropGone() {
    while (!prompt.isEmpty() && !prompt.peek().work().waiting()) {
      prompt.poll();
    }
    while (!patient.isEmpty() && !patient.peek().waiting()) {
      patient.poll();
    }
  }

  /**
   * Takes out all items that no longer wait or whose latest start has passed.
   *
   * @param nowMillis the time
   * @return the items whose latest start has passed
   */
  public List<W> removeLate(long nowMillis) {
    List<W> late = new ArrayList<>();
    prompt.removeIf(tagged -> goneOrLate(tagged.work(), nowMillis, late));
    patient.removeIf(work -> goneOrLate(work, nowMillis, late));
    return late;
  }

  private boolean goneOrLate(W work, long nowMillis, List<W> late) {
    if (!work.waiting()) {
      return true;
    }
    if (work.latestStartMillis() >= nowMillis) {
      return false;
    }
    late.add(work);
    return true;
  }

  /** Returns how many items are queued, with those that no longer wait. */
  public int size() {
    return prompt.size() + patient.size();
  }
}
