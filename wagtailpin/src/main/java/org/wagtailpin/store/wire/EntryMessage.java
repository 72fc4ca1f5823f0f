package org.wagtailpin.store.wire;

import java.util.Optional;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.StoreEntry;

/**
 * A key with its value.
 *
 * @param key the key
 * @param value the value
 * @param revision the revision of the key's last change
 * @param lease the number of the lease that the key ends with, 0 for none
 */
@SuppressWarnings("ArrayRecordComponent") // a value is bytes; messages are never compared
public record EntryMessage(String key, byte[] value, long revision, long lease) {

  /** Returns the message for an entry. */
  public static EntryMessage of(StoreEntry entry) {
    long lease = entry.lease().map(LeaseId::value).orElse(0L);
    return new EntryMessage(entry.key(), entry.value(), entry.revision(), lease);
  }

  /** Returns the entry that the message tells of. */
  public StoreEntry toEntry() {
    Optional<LeaseId> held = lease == 0 ? Optional.empty() : Optional.of(new LeaseId(lease));
    return new StoreEntry(key, value, revision, held);
  }
}
