package org.wagtailpin.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Maker of call identifiers, unique over all entries and their restarts. */
final class RequestIdGenerator {

  private static final int RADIX = 36;

  private final String prefix;
  private final AtomicLong counter = new AtomicLong();

  /**
   * Creates a maker.
   *
   * @param entry the name of this entry
   * @param incarnation a number that is new at each start of the entry
   */
  RequestIdGenerator(String entry, long incarnation) {
    this.prefix = entry + "-" + Long.toString(incarnation, RADIX) + "-";
  }

  String next() {
    return prefix + Long.toString(counter.incrementAndGet(), RADIX);
  }
}
