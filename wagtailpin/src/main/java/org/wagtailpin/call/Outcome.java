package org.wagtailpin.call;

/** Whether a request that got no answer from a backend server may have been run. */
public enum Outcome {
  /** It is proved that no backend server ran the request. */
  NOT_RUN("not-run"),
  /** A backend server may have run the request. */
  UNKNOWN("unknown");

  private final String label;

  Outcome(String label) {
    this.label = label;
  }

  /** Returns the name used in headers, answers, events and metrics. */
  public String label() {
    return label;
  }
}
