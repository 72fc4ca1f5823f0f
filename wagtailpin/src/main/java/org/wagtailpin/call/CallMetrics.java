package org.wagtailpin.call;

import org.wagtailpin.routing.CallDescriptor;

/** Counts calls and attempts. Called by traffic threads. */
public interface CallMetrics {

  /**
   * Counts a call that ended.
   *
   * @param call the call
   * @param outcome one of those of {@link CallEnd}
   * @param latencyMillis the time since the call's head arrived, in milliseconds
   */
  void callEnded(CallDescriptor call, String outcome, double latencyMillis);

  /**
   * Counts an attempt that ended.
   *
   * @param service the name of the service
   * @param outcome {@code answered}, {@code not-run}, {@code unknown} or {@code cancelled}
   * @param latencyMillis the time since the server was chosen, in milliseconds
   */
  void attemptEnded(String service, String outcome, double latencyMillis);

  /**
   * Counts a decision on another attempt.
   *
   * @param service the name of the service
   * @param rule the rule that decided
   */
  void retryDecided(String service, String rule);

  /**
   * Counts a request that was answered before it became a call.
   *
   * @param status the HTTP status code of the answer
   */
  void unreadRequestAnswered(int status);
}
