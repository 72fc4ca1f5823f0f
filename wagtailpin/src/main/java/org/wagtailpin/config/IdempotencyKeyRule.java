package org.wagtailpin.config;

/** How an {@code Idempotency-Key} header is treated on a route. */
public enum IdempotencyKeyRule {
  /** The header is forwarded and has no other effect. */
  IGNORED("ignored"),
  /** A request with the header runs at most once; a request without it is served normally. */
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
