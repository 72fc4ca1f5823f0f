package org.wagtailpin.store.wire;

import java.util.Optional;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.StoreEntry;

/**
 * JSON form of a {@link StoreEntry}.
 *
 * @param key the full key
 * @param value the value, Base64 in JSON; not copied
 * @param revision the revision of the key's last change
 * @param lease the number of the lease with whose end the key is deleted, 0 for none
 */
@SuppressWarnings("ArrayRecordComponent") // the value is raw bytes, and messages are never compared
public record EntryMessage(String key, byte[] value, long revision, long lease) {

  /** Converts an entry to its JSON form. */
  public static EntryMessage of(StoreEntry entry) {
    long lease = entry.lease().map(LeaseId::value).orElse(0L);
    return new EntryMessage(entry.key(), entry.value(), entry.revision(), lease);
  }

  /** Converts this message to an entry. */
  public StoreEntry toEntry() {
    Optional<LeaseId> held = lease == 0 ? Optional.empty() : Optional.of(new LeaseId(lease));
    return new StoreEntry(key, value, revision, held);
  }
}
