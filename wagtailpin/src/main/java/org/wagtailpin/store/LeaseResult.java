package org.wagtailpin.store;

import org.wagtailpin.error.Fault;

/** Result of a call that grants, renews or revokes a lease. */
public sealed interface LeaseResult {

  /**
   * The lease is held. Its time to live started at some moment between the call and its response.
   *
   * @param lease the id of the lease, to renew it or to write keys under it
   * @param ttlMillis how long the lease lasts without renewal, in milliseconds
   */
  record Held(LeaseId lease, long ttlMillis) implements LeaseResult {}

  /** The lease does not exist: it expired or was revoked. */
  record Lapsed() implements LeaseResult {}

  /**
   * The call failed; whether it had an effect on the lease is not known.
   *
   * @param fault the cause of the failure
   */
  record Failed(Fault fault) implements LeaseResult {}
}
