package org.wagtailpin.config;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A numbered change of the configuration. It contains the complete new state of each object that it
 * changes.
 *
 * @param number the ticket's number, 1 to {@link #MAX_NUMBER}
 * @param objects the objects that it creates or replaces
 * @param removals the objects that it removes, none of which is also in {@code objects}
 */
public record Ticket(long number, List<ConfigObject> objects, List<ObjectId> removals) {

  /** The highest ticket number. */
  public static final long MAX_NUMBER = 1_000_000_000_000_000L;

  /** Copies the lists, sorted by identity because their order is not significant. */
  public Ticket {
    objects = objects.stream().sorted(Comparator.comparing(ConfigObject::id)).toList();
    removals = removals.stream().sorted().toList();
  }

  /** Returns the states that the ticket sets, including removals. */
  public List<VersionedObject> states() {
    List<VersionedObject> states = new ArrayList<>();
    for (ConfigObject object : objects) {
      states.add(new VersionedObject(object.id(), number, Optional.of(object)));
    }
    for (ObjectId removal : removals) {
      states.add(new VersionedObject(removal, number, Optional.empty()));
    }
    return states;
  }

  /** Returns the hash of the objects and removals; the number is not included. */
  public ContentHash contentHash() {
    ConfigJson json = new ConfigJson();
    HashStream64 hash = Hashing.komihash5_0().hashStream();
    for (ConfigObject object : objects) {
      hash.putByteArray(json.write(object));
    }
    for (ObjectId removal : removals) {
      hash.putString(removal.toString());
    }
    hash.putInt(objects.size());
    hash.putInt(removals.size());
    return new ContentHash(hash.getAsLong());
  }
}
