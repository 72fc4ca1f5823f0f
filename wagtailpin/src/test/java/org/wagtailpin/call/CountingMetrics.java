package org.wagtailpin.call;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.routing.CallDescriptor;

/** Call metrics that tests can read: plain counts by outcome, rule or status. */
public final class CountingMetrics implements CallMetrics {

  private final Map<String, Integer> calls = new ConcurrentHashMap<>();
  private final Map<String, Integer> attempts = new ConcurrentHashMap<>();
  private final Map<String, Integer> decisions = new ConcurrentHashMap<>();
  private final Map<Integer, Integer> unread = new ConcurrentHashMap<>();

  @Override
  public void callEnded(CallDescriptor call, String outcome, double latencyMillis) {
    calls.merge(outcome, 1, Integer::sum);
  }

  @Override
  public void attemptEnded(String service, String outcome, double latencyMillis) {
    attempts.merge(outcome, 1, Integer::sum);
  }

  @Override
  public void retryDecided(String service, String rule) {
    decisions.merge(rule, 1, Integer::sum);
  }

  @Override
  public void unreadRequestAnswered(int status) {
    unread.merge(status, 1, Integer::sum);
  }

  public int decisions(String rule) {
    return decisions.getOrDefault(rule, 0);
  }

  public int unreadWith(int status) {
    return unread.getOrDefault(status, 0);
  }

  public int calls(String outcome) {
    return calls.getOrDefault(outcome, 0);
  }

  public int attempts(String outcome) {
    return attempts.getOrDefault(outcome, 0);
  }
}
