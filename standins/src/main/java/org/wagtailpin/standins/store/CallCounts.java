package org.wagtailpin.standins.store;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** How many calls of each kind the stand-in was sent. Safe for use by threads. */
public final class CallCounts {

  /** The kinds of call that the store tells apart. */
  public enum Kind {
    READ,
    LIST,
    WRITE,
    LEASE,
    WATCH
  }

  private final Map<Kind, LongAdder> counts = new EnumMap<>(Kind.class);

  /** Creates counts that are all 0. */
  public CallCounts() {
    for (Kind kind : Kind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  void countCall(Kind kind) {
    counts.get(kind).increment();
  }

  /**
   * Returns how many calls of a kind were sent.
   *
   * @param kind the kind
   */
  public long of(Kind kind) {
    return counts.get(kind).sum();
  }
}
