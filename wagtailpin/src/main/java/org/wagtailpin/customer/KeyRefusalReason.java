package org.wagtailpin.customer;

/** Why a request that needs a customer's key is refused. */
public enum KeyRefusalReason {
  MISSING("missing", "the request has no key"),
  UNKNOWN("unknown", "the key is not known"),
  AMBIGUOUS("ambiguous", "the request has different keys"),
  /** The key was known when the request arrived, but not when it was to be sent. */
  REMOVED("removed", "the key is not known any more");

  private final String label;
  private final String detail;

  KeyRefusalReason(String label, String detail) {
    this.label = label;
    this.detail = detail;
  }

  /** Returns the name used in log lines and metrics. */
  public String label() {
    return label;
  }

  /** Returns the description for the caller. */
  public String detail() {
    return detail;
  }
}
