package org.wagtailpin.operator;

import java.util.Optional;

/** Readiness of the entry to accept requests from callers. */
public interface Readiness {

  /** Returns why the entry is not ready, or empty if it is ready. Must be thread-safe. */
  Optional<String> notReadyReason();
}
