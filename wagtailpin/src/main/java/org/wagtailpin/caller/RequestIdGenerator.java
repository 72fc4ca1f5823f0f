package org.wagtailpin.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Generates request identifiers that are unique over all entries and their restarts. */
final class RequestIdGenerator {

  private static final int RADIX = 36;

  private final String prefix;
  private final AtomicLong counter = new AtomicLong();

  /**
   * Creates a generator.
   *
   * @param entry the name of this entry
   * @param incarnation a number that differs for each start of the entry, at least 0
   */
  RequestIdGenerator(String entry, long incarnation) {
    this.prefix = entry + "-" + Long.toString(incarnation, RADIX) + "-";
  }

  String next() {
    return prefix + Long.toString(counter.incrementAndGet(), RADIX);
  }
}
