package org.wagtailpin.benchmark.experiment;

import java.util.concurrent.atomic.AtomicIntegerArray;

/** Counts how often each call of a run was run by any server. Safe for all threads. */
final class RunLedger {

  private static final int MOST_CALLS = 1 << 20;

  private final AtomicIntegerArray runs = new AtomicIntegerArray(MOST_CALLS);

  void ran(int call) {
    runs.incrementAndGet(call % MOST_CALLS);
  }

  int runs(int call) {
    return runs.get(call % MOST_CALLS);
  }
}
