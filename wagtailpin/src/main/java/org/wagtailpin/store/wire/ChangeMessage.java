package org.wagtailpin.store.wire;

import java.util.List;
import java.util.Optional;
import org.wagtailpin.store.StoreChange;

/**
 * A change of a key.
 *
 * @param key the key
 * @param revision the revision of the change
 * @param entries the key with its new value, none if it was deleted
 */
public record ChangeMessage(String key, long revision, List<EntryMessage> entries) {

  /** Copies the list. */
  public ChangeMessage {
    entries = List.copyOf(entries);
  }

  /** Returns the message for a change. */
  public static ChangeMessage of(StoreChange change) {
    List<EntryMessage> entries = change.entry().map(EntryMessage::of).stream().toList();
    return new ChangeMessage(change.key(), change.revision(), entries);
  }

  /** Returns the change that the message tells of. */
  public StoreChange toChange() {
    Optional<EntryMessage> entry = entries.stream().findFirst();
    return new StoreChange(key, revision, entry.map(EntryMessage::toEntry));
  }
}
