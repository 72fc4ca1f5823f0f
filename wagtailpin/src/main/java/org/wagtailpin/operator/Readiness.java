package org.wagtailpin.operator;

import java.util.Optional;

/** Tells whether the entry takes callers' requests. */
public interface Readiness {

  /** Returns why the entry is not ready, or empty if it is; for any thread. */
  Optional<String> notReadyReason();
}
