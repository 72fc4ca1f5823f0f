package org.wagtailpin.call;

/** What is known of a request that brought no answer of a backend server. */
public enum Outcome {
  /** It is proved that no backend server ran it. */
  NOT_RUN("not-run"),
  /** A backend server may have run it. */
  UNKNOWN("unknown");

  private final String label;

  Outcome(String label) {
    this.label = label;
  }

  /** Returns the name used in headers, answers and log lines. */
  public String label() {
    return label;
  }
}
