package org.wagtailpin.routing;

import org.wagtailpin.error.Fault;

/**
 * A decision not to run a call.
 *
 * @param fault the reason
 * @param retryAfterMillis after which time a further request may be served, in milliseconds
 * @param overQuota whether the customer's quota is the reason
 */
public record Refusal(Fault fault, long retryAfterMillis, boolean overQuota) {

  /** Creates a refusal for which no quota is the reason. */
  public Refusal(Fault fault, long retryAfterMillis) {
    this(fault, retryAfterMillis, false);
  }
}
