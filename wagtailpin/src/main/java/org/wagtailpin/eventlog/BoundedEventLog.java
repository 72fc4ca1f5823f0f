package org.wagtailpin.eventlog;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.wagtailpin.clock.Clock;

/**
 * Event log that writes with a thread of its own, in bounds.
 *
 * <p>Changes of belief and failed requests wait in a queue that goes first; successful requests
 * wait in another. A full queue drops what comes, which is counted and logged itself. Both kinds of
 * requests are sampled above a number of lines a second.
 */
public final class BoundedEventLog implements EventLog, AutoCloseable {

  private static final int MAX_EVENTS_OF_REQUEST = 64;
  private static final int MAX_OPEN_REQUESTS = 65_536;
  private static final long CLOSE_WAIT_MILLIS = 2_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String entry;
  private final Clock clock;
  private final Consumer<String> output;
  private final EventLogSettings settings;
  private final LineQueue important;
  private final LineQueue ordinary;
  private final RequestSample failures;
  private final RequestSample successes;
  private final ConcurrentHashMap<String, List<Stamped>> open = new ConcurrentHashMap<>();
  private final AtomicLong notSampled = new AtomicLong();
  private final AtomicBoolean idle = new AtomicBoolean();
  private final Thread writer;
  private volatile boolean closed;
  private long toldDropped;

  /** An event with the time at which it was noted. */
  private record Stamped(Event event, long wallMillis) {}

  /**
   * Starts the log.
   *
   * @param entry the identifier of the entry
   * @param settings the bounds
   * @param clock the clock
   * @param output takes each line; called by the log's own thread only, and may block
   */
  public BoundedEventLog(
      String entry, EventLogSettings settings, Clock clock, Consumer<String> output) {
    this.entry = entry;
    this.settings = settings;
    this.clock = clock;
    this.output = output;
    this.important = new LineQueue(settings.waitingLines());
    this.ordinary = new LineQueue(settings.waitingLines());
    this.failures = new RequestSample(settings.failureLinesPerSecond());
    this.successes = new RequestSample(settings.linesPerSecond());
    this.writer = new Thread(this::write, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void begin(String request) {
    if (open.size() < MAX_OPEN_REQUESTS) {
      open.putIfAbsent(request, new ArrayList<>());
    }
  }

  @Override
  public void note(Event event) {
    Stamped stamped = new Stamped(event, clock.wallMillis());
    List<Stamped> gathered = event.request().map(open::get).orElse(null);
    if (gathered != null) {
      synchronized (gathered) {
        if (gathered.size() < MAX_EVENTS_OF_REQUEST) {
          gathered.add(stamped);
        }
      }
      return;
    }
    if (event.request().isEmpty()) {
      offer(important, stamped);
    } else if (failures.keeps(event.request().get(), 1, clock.millis())) {
      offer(important, stamped);
    } else {
      notSampled.incrementAndGet();
    }
  }

  @Override
  public void end(String request, boolean failed) {
    List<Stamped> gathered = open.remove(request);
    if (gathered == null) {
      return;
    }
    synchronized (gathered) {
      RequestSample sample = failed ? failures : successes;
      if (sample.keeps(request, gathered.size(), clock.millis())) {
        LineQueue queue = failed ? important : ordinary;
        gathered.forEach(stamped -> offer(queue, stamped));
      } else {
        notSampled.addAndGet(gathered.size());
      }
    }
  }

  private void offer(LineQueue queue, Stamped stamped) {
    queue.offer(() -> EventLine.of(stamped.event(), stamped.wallMillis(), entry));
    if (idle.compareAndSet(true, false)) {
      LockSupport.unpark(writer);
    }
  }

  /** Returns how many lines were dropped because a queue was full. */
  public long dropped() {
    return important.dropped() + ordinary.dropped();
  }

  /** Returns how many lines were left out because their requests are not in the sample. */
  public long notSampled() {
    return notSampled.get();
  }

  private void write() {
    boolean last = false;
    while (!last) {
      last = closed;
      writeWaiting();
      if (!last) {
        awaitLines();
      }
    }
  }

  private void awaitLines() {
    idle.set(true);
    if (important.isEmpty() && ordinary.isEmpty() && !closed) {
      LockSupport.park(this);
    }
    idle.set(false);
    if (!closed) {
      LockSupport.parkNanos(this, settings.gatherMillis() * NANOS_PER_MILLI);
    }
  }

  private void writeWaiting() {
    boolean written = true;
    while (written) {
      // Important lines that came while an ordinary one was written go before the next.
      written = important.writeAll(output) + ordinary.writeOne(output) > 0;
    }
    tellDropped();
  }

  private void tellDropped() {
    long dropped = dropped();
    if (dropped > toldDropped) {
      toldDropped = dropped;
      Event event =
          Event.of(EventKind.LINES_DROPPED)
              .with("dropped", dropped)
              .with("notSampled", notSampled());
      output.accept(EventLine.of(event, clock.wallMillis(), entry));
    }
  }

  /** Writes what waits, for a bounded time, and stops the thread. */
  @Override
  public void close() {
    closed = true;
    LockSupport.unpark(writer);
    try {
      writer.join(CLOSE_WAIT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
