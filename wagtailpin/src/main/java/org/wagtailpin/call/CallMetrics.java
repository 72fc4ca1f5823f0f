package org.wagtailpin.call;

import org.wagtailpin.routing.CallDescriptor;

/** Metrics of calls and attempts. Called by traffic threads; implementations are thread-safe. */
public interface CallMetrics {

  /**
   * Counts a call that ended.
   *
   * @param call the call
   * @param outcome one of the outcomes listed at {@link CallEnd}
   * @param latencyMillis the time since the request head arrived, in milliseconds
   */
  void callEnded(CallDescriptor call, String outcome, double latencyMillis);

  /**
   * Counts an attempt that ended.
   *
   * @param service the name of the service
   * @param outcome {@code answered}, {@code not-run}, {@code unknown} or {@code cancelled}
   * @param latencyMillis the time since the server was selected, in milliseconds
   */
  void attemptEnded(String service, String outcome, double latencyMillis);

  /**
   * Counts a decision whether a failed attempt is retried.
   *
   * @param service the name of the service
   * @param rule the label of the rule that decided
   */
  void retryDecided(String service, String rule);

  /**
   * Counts a request that was answered with a problem before it became a call.
   *
   * @param status the HTTP status code of the answer
   */
  void unreadRequestAnswered(int status);

  /**
   * Counts a request that needs a customer's key and was refused for lack of a known one.
   *
   * @param reason the label of the reason
   */
  default void keyRefused(String reason) {}
}
