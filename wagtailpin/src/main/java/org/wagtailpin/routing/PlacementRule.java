package org.wagtailpin.routing;

/** The rule that decided where a call runs, or that it does not. */
public enum PlacementRule {
  /** A compared server is estimated to have a free slot. */
  FREE_SLOT("free-slot"),
  /** An attempt that ended has just freed a slot on the server. */
  FREED_SLOT("freed-slot"),
  /** All slots are estimated to be busy, and the wait at the server is shorter than here. */
  SHORTER_AT_SERVER("shorter-at-server"),
  /** This entry has no attempt in flight whose end could free a slot or improve its estimates. */
  NOTHING_IN_FLIGHT("nothing-in-flight"),
  /** A server of another region is cheaper, network delay included. */
  OTHER_REGION("other-region"),
  /** No near server is usable, so the work is spread over all servers that take work. */
  ALL_BAD("all-bad"),
  /** Refused: the service has no server that takes work. */
  NO_SERVER("no-server"),
  /** Refused: the deadline has passed, or its route is known to take longer than is left. */
  DEADLINE("deadline"),
  /** Refused: no slot is free, and the queue is too long to start the work in time. */
  QUEUE_TOO_LONG("queue-too-long"),
  /** Refused: by the limits that all servers name, none takes the call in time. */
  SERVER_LIMITS("server-limits"),
  /** Refused: every server that takes work wants no requests until the call is too late. */
  SERVERS_PAUSED("servers-paused"),
  /** Refused: no slot is free, and the call exceeds its customer's share of the service. */
  CUSTOMER_SHARE("customer-share"),
  /** Refused: the maximum time in the queue has passed. */
  QUEUE_TIME_OVER("queue-time-over");

  private final String label;

  PlacementRule(String label) {
    this.label = label;
  }

  /** Returns whether calls are refused by this rule since there is more work than slots. */
  boolean lacksCapacity() {
    return this == QUEUE_TOO_LONG
        || this == SERVER_LIMITS
        || this == CUSTOMER_SHARE
        || this == QUEUE_TIME_OVER;
  }

  /** Returns the name used in log lines and metrics. */
  public String label() {
    return label;
  }
}
