package org.wagtailpin.config;

/** Whether requests on a route carry an {@code Idempotency-Key}. */
public enum IdempotencyKeyRule {
  /** The header is passed on and otherwise ignored. */
  IGNORED("ignored"),
  /** A request with the header runs at most once; one without it is served as well. */
  OPTIONAL("optional"),
  /** A request without the header is refused. */
  REQUIRED("required");

  private final String label;

  IdempotencyKeyRule(String label) {
    this.label = label;
  }

  /** Returns the name used in tickets. */
  public String label() {
    return label;
  }
}
