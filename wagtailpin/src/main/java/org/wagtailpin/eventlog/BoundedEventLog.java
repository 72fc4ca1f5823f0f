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
 * Event log that writes on its own thread and limits its memory use and output rate.
 *
 * <p>Events of failed requests and events without a request wait in a high-priority queue, which is
 * written first; events of successful requests wait in a second queue. A full queue drops new
 * lines, which is counted and reported by an event of its own. Failed and successful requests are
 * each sampled above a configured number of lines per second. Events of a request that has not
 * begun are treated like those of failed requests.
 */
public final class BoundedEventLog implements EventLog, AutoCloseable {

  private static final int MAX_EVENTS_PER_REQUEST = 64;
  private static final int MAX_OPEN_REQUESTS = 65_536;
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String entry;
  private final Clock clock;
  private final Consumer<String> output;
  private final Runnable flush;
  private final EventLogSettings settings;
  private final LineQueue highPriorityQueue;
  private final LineQueue lowPriorityQueue;
  private final RequestSampler failureSampler;
  private final RequestSampler successSampler;
  private final ConcurrentHashMap<String, List<TimedEvent>> openRequests =
      new ConcurrentHashMap<>();
  private final AtomicLong notSampled = new AtomicLong();
  private final AtomicBoolean writerIdle = new AtomicBoolean();
  private final Thread writer;
  private volatile boolean closed;
  private long lastReportedDropped;

  /** An event with the wall-clock time at which it was recorded, in milliseconds. */
  private record TimedEvent(Event event, long wallMillis) {}

  /**
   * Creates the log and starts its thread.
   *
   * @param entry the identifier of the entry
   * @param settings the queue size, sampling rates and batching delay
   * @param clock gives the time stamps of events and the time base of the sampling
   * @param output receives each line, without line separator; called by the log's own thread only,
   *     and may block
   */
  public BoundedEventLog(
      String entry, EventLogSettings settings, Clock clock, Consumer<String> output) {
    this(entry, settings, clock, output, () -> {});
  }

  /**
   * Creates the log for a buffered output and starts its thread.
   *
   * @param entry the identifier of the entry
   * @param settings the queue size, sampling rates and batching delay
   * @param clock gives the time stamps of events and the time base of the sampling
   * @param output receives each line, without line separator; called by the log's own thread only,
   *     and may block
   * @param flush called by the same thread after the lines of a batch
   */
  public BoundedEventLog(
      String entry,
      EventLogSettings settings,
      Clock clock,
      Consumer<String> output,
      Runnable flush) {
    this.entry = entry;
    this.settings = settings;
    this.clock = clock;
    this.output = output;
    this.flush = flush;
    this.highPriorityQueue = new LineQueue(settings.maxQueuedLines());
    this.lowPriorityQueue = new LineQueue(settings.maxQueuedLines());
    this.failureSampler = new RequestSampler(settings.failureLinesPerSecond());
    this.successSampler = new RequestSampler(settings.linesPerSecond());
    this.writer = new Thread(this::runWriter, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void begin(String request) {
    if (openRequests.size() < MAX_OPEN_REQUESTS) {
      openRequests.putIfAbsent(request, new ArrayList<>());
    }
  }

  @Override
  public void recordEvent(Event event) {
    TimedEvent timedEvent = new TimedEvent(event, clock.wallMillis());
    List<TimedEvent> bufferedEvents = event.request().map(openRequests::get).orElse(null);
    if (bufferedEvents != null) {
      synchronized (bufferedEvents) {
        if (bufferedEvents.size() < MAX_EVENTS_PER_REQUEST) {
          bufferedEvents.add(timedEvent);
        }
      }
      return;
    }
    if (event.request().isEmpty()) {
      offer(highPriorityQueue, timedEvent);
    } else if (failureSampler.shouldSample(event.request().get(), 1, clock.millis())) {
      offer(highPriorityQueue, timedEvent);
    } else {
      notSampled.incrementAndGet();
    }
  }

  @Override
  public void end(String request, boolean failed) {
    List<TimedEvent> bufferedEvents = openRequests.remove(request);
    if (bufferedEvents == null) {
      return;
    }
    synchronized (bufferedEvents) {
      RequestSampler sampler = failed ? failureSampler : successSampler;
      if (sampler.shouldSample(request, bufferedEvents.size(), clock.millis())) {
        LineQueue queue = failed ? highPriorityQueue : lowPriorityQueue;
        bufferedEvents.forEach(timedEvent -> offer(queue, timedEvent));
      } else {
        notSampled.addAndGet(bufferedEvents.size());
      }
    }
  }

  private void offer(LineQueue queue, TimedEvent timedEvent) {
    queue.offer(() -> EventLine.format(timedEvent.event(), timedEvent.wallMillis(), entry));
    if (writerIdle.compareAndSet(true, false)) {
      LockSupport.unpark(writer);
    }
  }

  /** Returns the number of lines dropped because a queue was full; for any thread. */
  public long dropped() {
    return highPriorityQueue.dropped() + lowPriorityQueue.dropped();
  }

  /** Returns the number of lines omitted because their requests were not sampled. */
  public long notSampled() {
    return notSampled.get();
  }

  private void runWriter() {
    boolean lastPass = false;
    while (!lastPass) {
      lastPass = closed;
      writeQueued();
      if (!lastPass) {
        awaitLines();
      }
    }
  }

  private void awaitLines() {
    writerIdle.set(true);
    if (highPriorityQueue.isEmpty() && lowPriorityQueue.isEmpty() && !closed) {
      LockSupport.park(this);
    }
    writerIdle.set(false);
    if (!closed) {
      LockSupport.parkNanos(this, settings.gatherMillis() * NANOS_PER_MILLI);
    }
  }

  private void writeQueued() {
    boolean anyWritten = true;
    while (anyWritten) {
      // Writes one low-priority line at a time, so that new high-priority lines go before the next.
      anyWritten = highPriorityQueue.writeAll(output) + lowPriorityQueue.writeOne(output) > 0;
    }
    reportDropped();
    flush.run();
  }

  private void reportDropped() {
    long dropped = dropped();
    if (dropped > lastReportedDropped) {
      lastReportedDropped = dropped;
      Event event =
          Event.of(EventKind.LINES_DROPPED)
              .with("dropped", dropped)
              .with("notSampled", notSampled());
      output.accept(EventLine.format(event, clock.wallMillis(), entry));
    }
  }

  /** Stops the thread after it has written the queued lines; waits at most 2 s for that. */
  @Override
  public void close() {
    closed = true;
    LockSupport.unpark(writer);
    try {
      writer.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
