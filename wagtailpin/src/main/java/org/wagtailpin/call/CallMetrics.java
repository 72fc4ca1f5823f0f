package org.wagtailpin.call;

/** Counts calls and attempts. Called by traffic threads. */
public interface CallMetrics {

  /**
   * Counts a call that ended.
   *
   * @param service the name of the service, empty if no route matched
   * @param outcome {@code answered}, {@code not-run}, {@code unknown}, {@code replayed}, {@code
   *     left} or {@code broken}
   * @param latencyMillis the time since the call's head arrived, in milliseconds
   */
  void callEnded(String service, String outcome, double latencyMillis);

  /**
   * Counts an attempt that ended.
   *
   * @param service the name of the service
   * @param outcome {@code answered}, {@code not-run}, {@code unknown} or {@code cancelled}
   */
  void attemptEnded(String service, String outcome);
}
