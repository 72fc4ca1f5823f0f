package org.wagtailpin.store.wire;

import java.util.List;

/**
 * The keys of a prefix.
 *
 * @param entries the keys with their values
 * @param storeRevision the store's revision when it answered
 */
public record ListMessage(List<EntryMessage> entries, long storeRevision) {

  /** Copies the list. */
  public ListMessage {
    entries = List.copyOf(entries);
  }
}
