package org.wagtailpin.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;

/** Runs work in a fixed number of slots and queues the rest in a bounded FIFO queue. */
final class SlotQueue {

  private final int slots;
  private final int queueLimit;
  private final Deque<Runnable> queued = new ArrayDeque<>();
  private int running;

  SlotQueue(int slots, int queueLimit) {
    this.slots = slots;
    this.queueLimit = queueLimit;
  }

  /**
   * Starts work now, or when a slot becomes free.
   *
   * @param work starts the work; called once, on a thread that submits work or releases a slot
   * @return true if the work was started or queued, false if the queue is full
   */
  boolean submit(Runnable work) {
    synchronized (this) {
      if (running >= slots) {
        if (queued.size() >= queueLimit) {
          return false;
        }
        queued.addLast(work);
        return true;
      }
      running++;
    }
    work.run();
    return true;
  }

  /** Removes work from the queue; returns false if it was not queued any more. */
  synchronized boolean cancel(Runnable work) {
    return queued.remove(work);
  }

  /** Releases a slot and starts the next queued work in it. */
  void releaseSlot() {
    Runnable next;
    synchronized (this) {
      next = queued.pollFirst();
      if (next == null) {
        running--;
        return;
      }
    }
    next.run();
  }

  synchronized int running() {
    return running;
  }

  synchronized int queued() {
    return queued.size();
  }
}
