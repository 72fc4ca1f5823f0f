package org.wagtailpin.eventlog;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Bounded queue of lines that are formatted when they are written. Many threads can add lines, one
 * thread writes them. A full queue drops new lines and counts them.
 */
final class LineQueue {

  private final int capacity;
  private final Queue<Supplier<String>> lines = new ConcurrentLinkedQueue<>();
  private final AtomicInteger size = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();

  LineQueue(int capacity) {
    this.capacity = capacity;
  }

  void offer(Supplier<String> line) {
    if (size.incrementAndGet() > capacity) {
      size.decrementAndGet();
      dropped.incrementAndGet();
      return;
    }
    lines.add(line);
  }

  boolean isEmpty() {
    return lines.isEmpty();
  }

  long dropped() {
    return dropped.get();
  }

  /** Writes all queued lines and returns their number. */
  int writeAll(Consumer<String> output) {
    int written = 0;
    while (writeOne(output) > 0) {
      written++;
    }
    return written;
  }

  /** Writes the oldest queued line, if any, and returns the number of lines written. */
  int writeOne(Consumer<String> output) {
    Supplier<String> line = lines.poll();
    if (line == null) {
      return 0;
    }
    size.decrementAndGet();
    output.accept(line.get());
    return 1;
  }
}
