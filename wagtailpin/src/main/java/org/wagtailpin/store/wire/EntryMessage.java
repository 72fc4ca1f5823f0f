package org.wagtailpin.store.wire;

import java.util.Optional;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.StoreRevision;

/**
 * JSON form of a {@link StoreEntry}.
 *
 * @param key the full key
 * @param value the value, Base64 in JSON; not copied
 * @param revision the revision of the key's last change, without the era
 * @param lease the number of the lease with whose end the key is deleted, 0 for none
 */
@SuppressWarnings("ArrayRecordComponent") // the value is raw bytes, and messages are never compared
public record EntryMessage(String key, byte[] value, long revision, long lease) {

  /** Converts an entry to its JSON form. */
  public static EntryMessage of(StoreEntry entry) {
    long lease = entry.lease().map(LeaseId::value).orElse(0L);
    return new EntryMessage(
        entry.key(), entry.value(), StoreRevision.bare(entry.revision()), lease);
  }

  /**
   * Converts this message to an entry.
   *
   * @param era the era of the store that sent it
   */
  public StoreEntry toEntry(long era) {
    Optional<LeaseId> held = lease == 0 ? Optional.empty() : Optional.of(new LeaseId(lease, era));
    return new StoreEntry(key, value, StoreRevision.of(era, revision), held);
  }
}
