package org.wagtailpin.config;

/** Whether requests on a route carry an {@code Idempotency-Key}. */
public enum KeyRule {
  /** The header is passed on and otherwise ignored. */
  IGNORED,
  /** A request with the header runs at most once; one without it is served as well. */
  OPTIONAL,
  /** A request without the header is refused. */
  REQUIRED
}
