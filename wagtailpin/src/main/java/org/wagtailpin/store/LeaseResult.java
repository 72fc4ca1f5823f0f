package org.wagtailpin.store;

import org.wagtailpin.error.Fault;

/** How a call about a lease ended. */
public sealed interface LeaseResult {

  /**
   * The lease holds, counted from a moment between the call and its answer.
   *
   * @param lease the lease
   * @param ttlMillis how long it lasts without renewal, in milliseconds
   */
  record Held(LeaseId lease, long ttlMillis) implements LeaseResult {}

  /** The lease does not exist: it lapsed or was revoked. */
  record Lapsed() implements LeaseResult {}

  /**
   * Nothing is known.
   *
   * @param fault why
   */
  record Failed(Fault fault) implements LeaseResult {}
}
