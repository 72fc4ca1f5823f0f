package org.wagtailpin.budget;

import java.util.HashMap;
import java.util.Map;

/** Entries that did not answer a request shortly ago. Not thread-safe. */
final class SilentEntries {

  private final Map<String, Double> untilMillis = new HashMap<>();

  /** Records an entry that did not answer, and until when it is not to be asked. */
  void add(String entry, double until) {
    untilMillis.put(entry, until);
  }

  /** Returns whether an entry is not to be asked now. */
  boolean contains(String entry, double nowMillis) {
    Double until = untilMillis.get(entry);
    if (until != null && until <= nowMillis) {
      untilMillis.remove(entry);
      return false;
    }
    return until != null;
  }
}
