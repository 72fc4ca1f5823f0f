package org.wagtailpin.store;

/** What must hold for a write to take effect. */
public sealed interface WriteCondition {

  /** The write always takes effect. */
  record Always() implements WriteCondition {}

  /** The key must not exist. */
  record Absent() implements WriteCondition {}

  /**
   * The key's last change must be of a revision.
   *
   * @param revision the revision, at least 1
   */
  record AtRevision(long revision) implements WriteCondition {}
}
