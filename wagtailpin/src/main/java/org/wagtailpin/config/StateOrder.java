package org.wagtailpin.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtailpin.store.StoreRevision;

/**
 * Decides which of two states of an object is the newer one.
 *
 * <p>The higher number wins, except between states of different eras of the store if both have a
 * version of their content. Then the higher version wins. If they are equal, a registration gets
 * the number of the later era, in which the server is known to exist, and a document keeps that of
 * the earlier one, since an operator may have given one version to two documents.
 *
 * <p>What a removal replaced is remembered, so that a store that was restored from an older copy
 * does not bring it back: by the version of its content or, without one, by the bare revision,
 * which shows that the copy holds the same write.
 *
 * <p>Not thread-safe.
 */
final class StateOrder {

  /**
   * What a removal replaced.
   *
   * @param revision its revision without the era
   * @param version the version of its content, if it had one
   */
  private record Removed(long revision, Optional<ContentVersion> version) {}

  private final Map<ObjectId, Removed> removed = new HashMap<>();

  /**
   * Returns whether the order of two numbers depends on the content as well. The numbers of objects
   * that operators set by tickets have no era.
   */
  static boolean dependsOnContent(ObjectId id, long ticket, long other) {
    ConfigKind kind = id.kind();
    boolean ofStore =
        kind == ConfigKind.SERVER_SET
            || (kind != ConfigKind.TICKET_FLOOR && !kind.isAllowedInTickets());
    return ofStore && StoreRevision.era(ticket) != StoreRevision.era(other);
  }

  /** Returns whether a state is newer than the one held. */
  boolean isNewer(VersionedObject state, VersionedObject held) {
    boolean higher = state.ticket() > held.ticket();
    if (!dependsOnContent(state.id(), state.ticket(), held.ticket()) || state.value().isEmpty()) {
      return higher;
    }
    Optional<ContentVersion> version = ContentVersion.of(state.value().get());
    if (held.value().isPresent()) {
      boolean equalIsNewer = (state.id().kind() == ConfigKind.SERVER_SET) == higher;
      return isNewer(version, ContentVersion.of(held.value().get()), higher, equalIsNewer);
    }
    Removed before = removed.get(held.id());
    if (!higher || before == null) {
      // A removal in a later era holds against all states of earlier ones.
      return higher;
    }
    boolean versioned = version.isPresent() && before.version().isPresent();
    return versioned
        ? isNewer(version, before.version(), true, false)
        : StoreRevision.bare(state.ticket()) != before.revision();
  }

  private static boolean isNewer(
      Optional<ContentVersion> version,
      Optional<ContentVersion> other,
      boolean laterEra,
      boolean equalIsNewer) {
    if (version.isEmpty() || other.isEmpty()) {
      return laterEra;
    }
    int order = version.get().compareTo(other.get());
    return order != 0 ? order > 0 : equalIsNewer;
  }

  /** Records that a state replaces the one held, if there is one. */
  void replaced(Optional<VersionedObject> held, VersionedObject state) {
    if (state.value().isPresent()) {
      removed.remove(state.id());
    } else if (held.flatMap(VersionedObject::value).isPresent()) {
      removed.put(
          state.id(),
          new Removed(
              StoreRevision.bare(held.get().ticket()),
              ContentVersion.of(held.get().value().get())));
    }
  }
}
