package org.wagtailpin.backend;

/** Why input of a backend server was discarded or refused. */
public enum UnmatchedReason {
  /** An answer bore another identifier than the request that awaited one, and was skipped. */
  STALE("stale"),
  /** An answer bore another identifier than the first request of its connection. */
  FOREIGN_IDENTIFIER("foreign-identifier"),
  /** An answer bore no identifier, although the server repeats it. */
  NO_IDENTIFIER("no-identifier"),
  /** Input came while no request awaited an answer. */
  UNSOLICITED("unsolicited"),
  /** Input that is no answer which HTTP allows, or that goes on for too long. */
  MALFORMED("malformed");

  private final String label;

  UnmatchedReason(String label) {
    this.label = label;
  }

  /** Returns the name used in events and metrics. */
  public String label() {
    return label;
  }
}
