package org.wagtailpin.standins.store;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts the calls received by the store stand-in, by kind. Thread-safe. */
public final class CallCounts {

  /** Kind of call. The names are written out by {@code GET /calls}. */
  public enum Kind {
    READ,
    LIST,
    WRITE,
    LEASE,
    WATCH
  }

  private final Map<Kind, LongAdder> counts = new EnumMap<>(Kind.class);

  /** Creates a counter per kind, each starting at 0. */
  public CallCounts() {
    for (Kind kind : Kind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  void countCall(Kind kind) {
    counts.get(kind).increment();
  }

  /**
   * Returns the number of calls of the given kind received so far.
   *
   * @param kind the kind of call to look up
   */
  public long of(Kind kind) {
    return counts.get(kind).sum();
  }
}
