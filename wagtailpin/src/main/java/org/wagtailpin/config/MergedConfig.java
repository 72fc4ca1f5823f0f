package org.wagtailpin.config;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The state of all objects, each that of the highest ticket seen for it.
 *
 * <p>Merging is commutative, associative and idempotent, so entries may take states from the store
 * and from one another in any order. A removal is a state like any other and is kept until a ticket
 * floor covers it.
 *
 * <p>The ticket floor is the number up to which tickets are closed: no ticket at or below it will
 * ever be accepted again, and every object that outlived it carries at least its number. A state
 * with a lower number is therefore old, whether or not its removal is still held. The floor travels
 * as an object of kind {@link ConfigKind#TICKET_FLOOR}, sorted after all others, so that a receiver
 * that merges in order has the new numbers before it drops the old ones.
 *
 * <p>For use by one thread.
 */
public final class MergedConfig {

  /** Identity of the object whose ticket number is the floor. */
  public static final ObjectId FLOOR_ID = new ObjectId(ConfigKind.TICKET_FLOOR, "floor");

  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private final NavigableMap<ObjectId, VersionedObject> objects = new TreeMap<>();
  private long digest;
  private long highestTicket;

  /**
   * Merges the state of one object.
   *
   * @param object the state
   * @return whether it was newer than the one held
   */
  public boolean merge(VersionedObject object) {
    if (object.id().equals(FLOOR_ID)) {
      return mergeFloor(object);
    }
    long floor = floor();
    if (object.ticket() < floor || (object.ticket() == floor && object.value().isEmpty())) {
      return false;
    }
    return putIfNewer(object);
  }

  /**
   * Merges the states of many objects, the ticket floor last.
   *
   * @param states the states in any order
   * @return whether any was newer than the one held
   */
  public boolean mergeAll(Collection<VersionedObject> states) {
    boolean changed = false;
    for (VersionedObject state : states) {
      if (!state.id().equals(FLOOR_ID)) {
        changed |= merge(state);
      }
    }
    for (VersionedObject state : states) {
      if (state.id().equals(FLOOR_ID)) {
        changed |= merge(state);
      }
    }
    return changed;
  }

  private boolean mergeFloor(VersionedObject floor) {
    if (!putIfNewer(floor)) {
      return false;
    }
    for (VersionedObject held : List.copyOf(objects.values())) {
      boolean removed = held.value().isEmpty() && held.ticket() <= floor.ticket();
      if (held.ticket() < floor.ticket() || removed) {
        drop(held.id());
      }
    }
    put(floor);
    return true;
  }

  private boolean putIfNewer(VersionedObject object) {
    VersionedObject held = objects.get(object.id());
    if (held != null && held.ticket() >= object.ticket()) {
      return false;
    }
    put(object);
    return true;
  }

  private void put(VersionedObject object) {
    drop(object.id());
    objects.put(object.id(), object);
    digest += hash(object);
    highestTicket = Math.max(highestTicket, object.ticket());
  }

  private void drop(ObjectId id) {
    VersionedObject held = objects.remove(id);
    if (held != null) {
      digest -= hash(held);
    }
  }

  // A sum of hashes does not depend on the order and is kept up to date in constant time.
  private static long hash(VersionedObject object) {
    return HASHER
        .hashStream()
        .putString(object.id().kind().label())
        .putString(object.id().name())
        .putLong(object.ticket())
        .putBoolean(object.value().isPresent())
        .getAsLong();
  }

  /**
   * Closes all tickets up to a number: gives that number to the objects below it and forgets the
   * removals that it covers.
   *
   * <p>Only the one writer of the shared state may call this, in the same write that makes the
   * floor known; otherwise two states would differ under one number.
   *
   * @param ticket the number, above the present floor
   * @throws IllegalArgumentException if the number is not above the present floor
   */
  public void closeUpTo(long ticket) {
    if (ticket <= floor()) {
      throw new IllegalArgumentException("floor " + ticket + " is not above " + floor());
    }
    for (VersionedObject held : List.copyOf(objects.values())) {
      if (held.ticket() < ticket && held.value().isPresent()) {
        put(new VersionedObject(held.id(), ticket, held.value()));
      }
    }
    mergeFloor(new VersionedObject(FLOOR_ID, ticket, Optional.empty()));
  }

  /** Returns the number up to which tickets are closed, 0 if none is. */
  public long floor() {
    VersionedObject floor = objects.get(FLOOR_ID);
    return floor == null ? 0 : floor.ticket();
  }

  /** Returns a hash of all states held, which does not depend on the order of merging. */
  public long digest() {
    return digest;
  }

  /** Returns the highest ticket number seen, 0 if there is none. */
  public long highestTicket() {
    return highestTicket;
  }

  /** Returns all states held, removals and the floor among them, in the order of identities. */
  public Collection<VersionedObject> objects() {
    return List.copyOf(objects.values());
  }

  /** Returns the objects in force. */
  public List<ConfigObject> live() {
    List<ConfigObject> live = new ArrayList<>();
    for (VersionedObject object : objects.values()) {
      object.value().ifPresent(live::add);
    }
    return live;
  }

  /**
   * Returns the state held of an object.
   *
   * @param id the object
   * @return its state, which may be a removal, or empty if none is held
   */
  public Optional<VersionedObject> object(ObjectId id) {
    return Optional.ofNullable(objects.get(id));
  }

  /**
   * Finds what another holder lacks.
   *
   * @param heldTickets the ticket number of each state that the other holds
   * @return the states that are newer or not listed, to be merged in this order
   */
  public List<VersionedObject> newerThan(Map<ObjectId, Long> heldTickets) {
    List<VersionedObject> newer = new ArrayList<>();
    for (VersionedObject object : objects.values()) {
      if (heldTickets.getOrDefault(object.id(), 0L) < object.ticket()) {
        newer.add(object);
      }
    }
    return newer;
  }
}
