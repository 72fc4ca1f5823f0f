package org.wagtailpin.store;

import org.wagtailpin.error.Fault;

/** How a write or deletion ended. */
public sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param revision the revision it was given
   */
  record Written(long revision) implements WriteResult {}

  /**
   * The write had no effect, because its condition did not hold.
   *
   * @param currentRevision the revision of the key's last change, 0 if the key does not exist
   */
  record Conflict(long currentRevision) implements WriteResult {}

  /**
   * The write had no effect, because it never reached the store or the store refused it.
   *
   * @param fault why
   */
  record NotWritten(Fault fault) implements WriteResult {}

  /**
   * The write may or may not have taken effect, now or later.
   *
   * @param fault why
   */
  record Unknown(Fault fault) implements WriteResult {}
}
