package org.wagtailpin.json;

/** How strictly a {@link JsonObjectReader} checks values. */
public enum ValueChecks {
  /** Types, names and ranges, for texts that people write. */
  ALL,
  /** Types only, for texts whose values were checked where they came from. */
  TYPES
}
