package org.wagtailpin.call;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.routing.DecisionLines;

/**
 * Log of routing decisions as JSON lines, written by a thread of its own.
 *
 * <p>Traffic threads put decisions into a bounded queue; what finds it full is dropped and counted.
 */
public final class JsonDecisionLog implements DecisionLog, DecisionLines, AutoCloseable {

  private static final JsonFactory JSON = new JsonFactory();
  private static final long IDLE_PAUSE_NANOS = 2_000_000;
  private static final long CLOSE_WAIT_MILLIS = 5_000;

  private final Queue<Supplier<String>> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger queued = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();
  private final int capacity;
  private final Clock clock;
  private final Consumer<String> lines;
  private final Thread writer;
  private volatile boolean closed;

  /**
   * Starts the log.
   *
   * @param capacity how many decisions may wait to be written, at least 1
   * @param clock the clock
   * @param lines takes each line; called by the log's own thread only
   */
  public JsonDecisionLog(int capacity, Clock clock, Consumer<String> lines) {
    this.capacity = capacity;
    this.clock = clock;
    this.lines = lines;
    this.writer = new Thread(this::write, "decision-log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void decided(Decision decision) {
    long wallMillis = clock.wallMillis();
    offer(() -> line(wallMillis, decision));
  }

  @Override
  public void offer(Supplier<String> line) {
    if (queued.incrementAndGet() > capacity) {
      queued.decrementAndGet();
      dropped.incrementAndGet();
      return;
    }
    queue.add(line);
  }

  /** Returns how many decisions were dropped. */
  public long dropped() {
    return dropped.get();
  }

  private void write() {
    boolean last = false;
    while (!last) {
      last = closed;
      writeQueued();
      LockSupport.parkNanos(IDLE_PAUSE_NANOS);
    }
  }

  private void writeQueued() {
    Supplier<String> line = queue.poll();
    while (line != null) {
      queued.decrementAndGet();
      lines.accept(line.get());
      line = queue.poll();
    }
  }

  private static String line(long wallMillis, Decision decision) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      writeLine(json, wallMillis, decision);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }

  private static void writeLine(JsonGenerator json, long wallMillis, Decision decision)
      throws IOException {
    json.writeStartObject();
    json.writeNumberField("time", wallMillis);
    json.writeStringField("event", "attempt");
    json.writeStringField("request", decision.requestId());
    json.writeStringField("service", decision.service());
    json.writeStringField("route", decision.route());
    json.writeStringField("server", decision.server());
    json.writeNumberField("attempt", decision.attempt());
    json.writeStringField("outcome", decision.outcome());
    json.writeNumberField("status", decision.status());
    json.writeStringField("detail", decision.detail());
    json.writeNumberField("latencyMillis", decision.latencyMillis());
    json.writeEndObject();
  }

  /** Writes what is queued and stops the thread. */
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
