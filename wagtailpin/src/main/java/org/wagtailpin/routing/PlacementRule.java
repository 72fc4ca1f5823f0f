package org.wagtailpin.routing;

/** The rule that decided where a call runs, or that it does not. */
public enum PlacementRule {
  /** A compared server is taken to have a free slot. */
  FREE_SLOT("free-slot"),
  /** A slot that an answer has just freed. */
  FREED_SLOT("freed-slot"),
  /** All slots are taken to be busy, and the wait at the server is shorter than here. */
  SHORTER_AT_SERVER("shorter-at-server"),
  /** This entry has no work in flight whose answers could tell more. */
  NOTHING_IN_FLIGHT("nothing-in-flight"),
  /** A server of another region is cheaper, its trip counted. */
  OTHER_REGION("other-region"),
  /** All servers look bad, so the work is spread over them. */
  ALL_BAD("all-bad"),
  /** Refused: the service has no server that takes work. */
  NO_SERVER("no-server"),
  /** Refused: the deadline has passed or is too near for the work. */
  DEADLINE("deadline"),
  /** Refused: the queue cannot start the work in time. */
  QUEUE_TOO_LONG("queue-too-long"),
  /** Refused: the longest time in the queue has passed. */
  QUEUE_TIME_OVER("queue-time-over");

  private final String label;

  PlacementRule(String label) {
    this.label = label;
  }

  /** Returns the name used in log lines and metrics. */
  public String label() {
    return label;
  }
}
