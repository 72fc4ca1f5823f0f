package org.wagtailpin.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtailpin.store.StoreRevision;

/**
 * Decides which of two states of an object is the newer one.
 *
 * <p>The higher number wins, except between states of different eras of the store if both have a
 * version of their content. Then the higher version wins and, if they are equal, the state of the
 * earlier era, since the later one shows nothing new. The version of an object that was removed is
 * remembered, so that a store that was restored from an older copy does not bring it back.
 *
 * <p>Not thread-safe.
 */
final class StateOrder {

  private final Map<ObjectId, ContentVersion> removed = new HashMap<>();

  /** Returns whether the order of two numbers depends on the content as well. */
  static boolean dependsOnContent(ObjectId id, long ticket, long other) {
    boolean versioned = id.kind() == ConfigKind.DOCUMENT || id.kind() == ConfigKind.SERVER_SET;
    return versioned && StoreRevision.era(ticket) != StoreRevision.era(other);
  }

  /** Returns whether a state is newer than the one held. */
  boolean isNewer(VersionedObject state, VersionedObject held) {
    if (!dependsOnContent(state.id(), state.ticket(), held.ticket())) {
      return state.ticket() > held.ticket();
    }
    boolean laterEra = state.ticket() > held.ticket();
    Optional<ContentVersion> version = state.value().flatMap(ContentVersion::of);
    Optional<ContentVersion> heldVersion = heldVersion(held, laterEra);
    if (version.isEmpty() || heldVersion.isEmpty()) {
      return laterEra;
    }
    int order = version.get().compareTo(heldVersion.get());
    return order != 0 ? order > 0 : !laterEra;
  }

  /** A removal in a later era holds against all states of earlier ones. */
  private Optional<ContentVersion> heldVersion(VersionedObject held, boolean laterEra) {
    return held.value().isPresent() || !laterEra
        ? held.value().flatMap(ContentVersion::of)
        : Optional.ofNullable(removed.get(held.id()));
  }

  /** Records that a state replaces the one held, if there is one. */
  void replaced(Optional<VersionedObject> held, VersionedObject state) {
    if (state.value().isPresent()) {
      removed.remove(state.id());
    } else {
      held.flatMap(VersionedObject::value)
          .flatMap(ContentVersion::of)
          .ifPresent(version -> removed.put(state.id(), version));
    }
  }
}
