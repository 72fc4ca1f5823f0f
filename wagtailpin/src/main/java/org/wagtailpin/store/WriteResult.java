package org.wagtailpin.store;

import org.wagtailpin.error.Fault;

/** Result of a write or deletion. */
public sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param revision the revision that the store assigned to the change
   */
  record Written(long revision) implements WriteResult {}

  /**
   * The write had no effect because its condition did not hold.
   *
   * @param currentRevision the revision of the key's last change, 0 if the key does not exist
   */
  record Conflict(long currentRevision) implements WriteResult {}

  /**
   * The write had no effect because it never reached the store or the store refused it.
   *
   * @param fault the reason
   */
  record NotWritten(Fault fault) implements WriteResult {}

  /**
   * The write may have taken effect, may still take effect later, or may have had no effect.
   *
   * @param fault why the outcome is unknown
   */
  record Unknown(Fault fault) implements WriteResult {}
}
