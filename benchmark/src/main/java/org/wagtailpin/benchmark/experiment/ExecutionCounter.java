package org.wagtailpin.benchmark.experiment;

import java.util.concurrent.atomic.AtomicIntegerArray;

/** Counts how often each call of a run was run by any server. Safe for all threads. */
final class ExecutionCounter {

  private static final int MAX_CALLS = 1 << 20;

  private final AtomicIntegerArray executions = new AtomicIntegerArray(MAX_CALLS);

  void recordExecution(int call) {
    executions.incrementAndGet(call % MAX_CALLS);
  }

  int executions(int call) {
    return executions.get(call % MAX_CALLS);
  }
}
