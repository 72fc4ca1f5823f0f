package org.wagtailpin.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;

/** The slots of a server and the work that waits for one, first come first served. */
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
   * Begins work now or when a slot is free.
   *
   * @param work begins the work; called once, on a thread that submits or finishes
   * @return whether it was taken; if not, the queue is full
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

  /** Takes work out of the queue; returns whether it was still waiting. */
  synchronized boolean cancel(Runnable work) {
    return queued.remove(work);
  }

  /** Frees a slot and begins the next work. */
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
