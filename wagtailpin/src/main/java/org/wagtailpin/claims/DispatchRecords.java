package org.wagtailpin.claims;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;

/**
 * Outcomes of this entry's own attempts: which are still running, which were never dispatched, and
 * the answers of those that ran. Used on the control loop only.
 *
 * <p>Outcomes are held for the claim window and within limits on their number and on the total size
 * of the answers; the oldest are evicted first, except for running work. An evicted or unknown
 * attempt is reported as {@link HeldOutcome.NotHeld}, which says nothing about whether the work
 * ran.
 */
final class DispatchRecords {

  private static final int MAX_RECORDS = 50_000;
  private static final int HEADER_OVERHEAD_BYTES = 64;

  private static final class Dispatch {
    private final long startMillis;
    private final List<CompletableFuture<HeldOutcome>> waiters = new ArrayList<>();
    private HeldOutcome outcome = new HeldOutcome.Running();
    private long sizeBytes;

    Dispatch(long startMillis) {
      this.startMillis = startMillis;
    }

    boolean running() {
      return outcome instanceof HeldOutcome.Running;
    }
  }

  private final ClaimSettings settings;
  private final Clock clock;
  private final ControlLoop loop;
  private final Map<String, Dispatch> records = new LinkedHashMap<>();
  private long heldBytes;

  DispatchRecords(ClaimSettings settings, Clock clock, ControlLoop loop) {
    this.settings = settings;
    this.clock = clock;
    this.loop = loop;
  }

  long heldBytes() {
    return heldBytes;
  }

  void start(String attempt) {
    records.put(attempt, new Dispatch(clock.millis()));
    evictOld();
  }

  /** Sets the outcome of a running attempt; later outcomes are ignored. */
  void finish(String attempt, HeldOutcome outcome) {
    Dispatch dispatch = records.get(attempt);
    if (dispatch == null || !dispatch.running()) {
      return;
    }
    dispatch.outcome = outcome;
    dispatch.sizeBytes = sizeBytes(outcome);
    heldBytes += dispatch.sizeBytes;
    List<CompletableFuture<HeldOutcome>> waiters = List.copyOf(dispatch.waiters);
    dispatch.waiters.clear();
    evictOld();
    waiters.forEach(waiter -> waiter.complete(outcome));
  }

  /**
   * Returns the outcome of an attempt.
   *
   * @param waitMillis how long to wait for running work to finish, in milliseconds; then the result
   *     is {@link HeldOutcome.Running}
   */
  CompletableFuture<HeldOutcome> outcome(String attempt, long waitMillis) {
    Dispatch dispatch = records.get(attempt);
    if (dispatch == null) {
      return CompletableFuture.completedFuture(new HeldOutcome.NotHeld());
    }
    if (!dispatch.running() || waitMillis <= 0) {
      return CompletableFuture.completedFuture(dispatch.outcome);
    }
    CompletableFuture<HeldOutcome> waiter = new CompletableFuture<>();
    dispatch.waiters.add(waiter);
    loop.schedule(waitMillis, () -> completeWaiter(dispatch, waiter));
    return waiter;
  }

  private static void completeWaiter(Dispatch dispatch, CompletableFuture<HeldOutcome> waiter) {
    waiter.complete(dispatch.outcome);
    dispatch.waiters.removeIf(CompletableFuture::isDone);
  }

  private void evictOld() {
    Iterator<Dispatch> oldestFirst = records.values().iterator();
    while (oldestFirst.hasNext()) {
      Dispatch dispatch = oldestFirst.next();
      boolean overLimit = records.size() > MAX_RECORDS || heldBytes > settings.maxHeldAnswerBytes();
      if (!overLimit && clock.millis() - dispatch.startMillis <= settings.windowMillis()) {
        return;
      }
      if (!dispatch.running()) {
        oldestFirst.remove();
        heldBytes -= dispatch.sizeBytes;
      }
    }
  }

  private static long sizeBytes(HeldOutcome outcome) {
    if (!(outcome instanceof HeldOutcome.Held held)) {
      return 0;
    }
    long total = held.answer().body().length;
    for (HeldHeader header : held.answer().headers()) {
      total += HEADER_OVERHEAD_BYTES + header.name().length() + header.value().length();
    }
    return total;
  }
}
