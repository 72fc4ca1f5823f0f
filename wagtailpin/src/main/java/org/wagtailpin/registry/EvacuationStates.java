package org.wagtailpin.registry;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtailpin.config.ConfigEvacuation;
import org.wagtailpin.config.ConfigKind;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.ObjectId;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.store.StoreEntry;

/**
 * Converts the keys of evacuated failure domains into object states. An evacuation ends as soon as
 * its key is gone, without a grace period, since only an operator removes it.
 */
final class EvacuationStates {

  private final Optional<String> prefix;

  /**
   * Creates a converter.
   *
   * @param prefix the common prefix of the keys, empty if the store holds no evacuations
   */
  EvacuationStates(Optional<String> prefix) {
    this.prefix = prefix;
  }

  /** Adds the state of a key that exists, if it is one of an evacuation. */
  void addPresent(StoreEntry entry, List<VersionedObject> states) {
    domain(entry.key())
        .ifPresent(
            domain ->
                states.add(
                    new VersionedObject(
                        idOf(domain),
                        entry.revision(),
                        Optional.of(new ConfigEvacuation(domain)))));
  }

  /** Adds the state of a key that was removed, if it is one of an evacuation. */
  void addRemoved(String key, long revision, List<VersionedObject> states) {
    domain(key).ifPresent(domain -> states.add(removal(idOf(domain), revision)));
  }

  /**
   * Adds removals of the evacuations that a complete list of keys does not contain.
   *
   * @param keys the keys of the list
   * @param revision the store revision of the list
   * @param merged the states that are known
   * @param states receives the removals
   */
  void addMissing(
      Set<String> keys, long revision, MergedConfig merged, List<VersionedObject> states) {
    for (VersionedObject held : merged.objects()) {
      ObjectId id = held.id();
      if (id.kind() == ConfigKind.EVACUATION
          && held.value().isPresent()
          && !keys.contains(prefix.orElse("") + id.name())) {
        states.add(removal(id, revision));
      }
    }
  }

  private Optional<String> domain(String key) {
    return prefix
        .filter(start -> key.startsWith(start) && key.length() > start.length())
        .map(start -> key.substring(start.length()));
  }

  private static ObjectId idOf(String domain) {
    return new ObjectId(ConfigKind.EVACUATION, domain);
  }

  private static VersionedObject removal(ObjectId id, long revision) {
    return new VersionedObject(id, revision, Optional.empty());
  }
}
