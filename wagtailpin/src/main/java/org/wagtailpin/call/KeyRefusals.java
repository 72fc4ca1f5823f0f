package org.wagtailpin.call;

import java.util.concurrent.atomic.AtomicLong;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.clock.TokenBucket;
import org.wagtailpin.customer.KeyHash;
import org.wagtailpin.customer.KeyRefusalReason;
import org.wagtailpin.customer.PresentedKey;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;

/** Counts requests whose key is refused, and logs a sample of them. Thread-safe. */
public final class KeyRefusals {

  /** One line a second shows which key fails without letting callers fill the log. */
  private static final double LINES_PER_SECOND = 1;

  private static final double BURST_MILLIS = 1_000;

  private final EventLog events;
  private final CallMetrics metrics;
  private final TokenBucket lines;
  private final AtomicLong omitted = new AtomicLong();
  private final KeyHash hash = new KeyHash();

  /**
   * Creates a recorder.
   *
   * @param events receives the sampled lines
   * @param metrics counts the refusals
   * @param clock limits the number of lines
   */
  public KeyRefusals(EventLog events, CallMetrics metrics, Clock clock) {
    this.events = events;
    this.metrics = metrics;
    this.lines = new TokenBucket(clock, BURST_MILLIS, 1);
  }

  /**
   * Records a refused request.
   *
   * @param reason why it is refused
   * @param key the key that it carries
   */
  public void record(KeyRefusalReason reason, PresentedKey key) {
    metrics.keyRefused(reason.label());
    if (!lines.take(1, LINES_PER_SECOND)) {
      omitted.incrementAndGet();
      return;
    }
    events.recordEvent(
        Event.of(EventKind.KEY_REFUSED)
            .with("reason", reason.label())
            .with("keyHash", hash.of(key))
            .with("omitted", omitted.getAndSet(0)));
  }
}
