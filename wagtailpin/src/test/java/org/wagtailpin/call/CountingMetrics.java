package org.wagtailpin.call;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Counts of calls and attempts by outcome. */
public final class CountingMetrics implements CallMetrics {

  private final Map<String, Integer> calls = new ConcurrentHashMap<>();
  private final Map<String, Integer> attempts = new ConcurrentHashMap<>();

  @Override
  public void callEnded(String service, String outcome, double latencyMillis) {
    calls.merge(outcome, 1, Integer::sum);
  }

  @Override
  public void attemptEnded(String service, String outcome) {
    attempts.merge(outcome, 1, Integer::sum);
  }

  public int calls(String outcome) {
    return calls.getOrDefault(outcome, 0);
  }

  public int attempts(String outcome) {
    return attempts.getOrDefault(outcome, 0);
  }
}
