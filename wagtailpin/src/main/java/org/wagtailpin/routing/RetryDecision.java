package org.wagtailpin.routing;

/**
 * Whether a call is retried.
 *
 * @param retry whether to make another attempt
 * @param rule the name of the rule that decided, for log lines
 * @param delayMillis how long to wait before the attempt, in milliseconds, at least 0
 */
public record RetryDecision(boolean retry, String rule, long delayMillis) {

  /** Returns the decision not to retry. */
  public static RetryDecision no(String rule) {
    return new RetryDecision(false, rule, 0);
  }
}
