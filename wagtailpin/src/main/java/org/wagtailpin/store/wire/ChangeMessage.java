package org.wagtailpin.store.wire;

import java.util.List;
import java.util.Optional;
import org.wagtailpin.store.StoreChange;
import org.wagtailpin.store.StoreRevision;

/**
 * JSON form of a {@link StoreChange}.
 *
 * @param key the full key
 * @param revision the store revision of the change
 * @param entries one element, the key with its new value; empty if the key was deleted
 */
public record ChangeMessage(String key, long revision, List<EntryMessage> entries) {

  /** Copies the list of entries. */
  public ChangeMessage {
    entries = List.copyOf(entries);
  }

  /** Converts a change to its JSON form. */
  public static ChangeMessage of(StoreChange change) {
    List<EntryMessage> entries = change.entry().map(EntryMessage::of).stream().toList();
    return new ChangeMessage(change.key(), StoreRevision.bare(change.revision()), entries);
  }

  /**
   * Converts this message to a change.
   *
   * @param era the era of the store that sent it
   */
  public StoreChange toChange(long era) {
    Optional<EntryMessage> entry = entries.stream().findFirst();
    return new StoreChange(
        key, StoreRevision.of(era, revision), entry.map(message -> message.toEntry(era)));
  }
}
