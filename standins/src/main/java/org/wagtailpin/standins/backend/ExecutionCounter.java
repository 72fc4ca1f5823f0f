package org.wagtailpin.standins.backend;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the executions of each piece of work on all servers that share the counter. */
public final class ExecutionCounter {

  private final Map<String, LongAdder> runsByWorkId = new ConcurrentHashMap<>();
  private final LongAdder totalRuns = new LongAdder();

  /**
   * Records the start of an execution.
   *
   * @param workId its identifier
   */
  public void recordStart(String workId) {
    totalRuns.increment();
    runsByWorkId.computeIfAbsent(workId, id -> new LongAdder()).increment();
  }

  /**
   * Returns how often a piece of work was run.
   *
   * @param workId its identifier
   */
  public long runsOf(String workId) {
    LongAdder count = runsByWorkId.get(workId);
    return count == null ? 0 : count.sum();
  }

  /** Returns how many pieces of work were run more than once. */
  public long countRepeated() {
    return runsByWorkId.values().stream().filter(count -> count.sum() > 1).count();
  }

  /**
   * Returns how many pieces of work with a prefix were run more than once.
   *
   * @param prefix the start of their identifiers
   */
  public long countRepeated(String prefix) {
    return runsByWorkId.entrySet().stream()
        .filter(run -> run.getKey().startsWith(prefix) && run.getValue().sum() > 1)
        .count();
  }

  /** Returns the number of executions recorded for all pieces of work. */
  public long totalRuns() {
    return totalRuns.sum();
  }
}
