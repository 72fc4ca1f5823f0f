package org.wagtailpin.store;

/** Condition for a write or deletion to take effect. */
public sealed interface WriteCondition {

  /** The write takes effect unconditionally. */
  record Always() implements WriteCondition {}

  /** The key must not exist. */
  record Absent() implements WriteCondition {}

  /**
   * The key must exist, and its last change must have the given revision.
   *
   * @param revision the expected revision of the key, at least 1
   */
  record AtRevision(long revision) implements WriteCondition {}
}
