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
 * A replicated map of object states in which the state with the highest ticket number wins, or the
 * one of the highest content version between eras of the store, see {@link StateOrder}.
 *
 * <p>Merging is commutative, associative and idempotent, so an entry may merge states from the
 * store and from other entries in any order. A removal is kept as a state (a tombstone) until the
 * ticket floor covers it.
 *
 * <p>The ticket floor is the number up to which tickets are closed: no ticket at or below it is
 * accepted any more, and every object that existed when it was raised carries at least its number.
 * A state with a lower number is therefore obsolete, whether or not its removal is still held. The
 * floor is transferred as an object of kind {@link ConfigKind#TICKET_FLOOR}, which sorts after all
 * others, so that a receiver that merges in order has the new numbers before it drops the old ones.
 *
 * <p>Not thread-safe.
 */
public final class MergedConfig {

  /** Identity of the object whose ticket number is the floor. */
  public static final ObjectId FLOOR_ID = new ObjectId(ConfigKind.TICKET_FLOOR, "floor");

  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private final NavigableMap<ObjectId, VersionedObject> objects = new TreeMap<>();
  private final StateOrder order = new StateOrder();
  private long digest;
  private long highestTicket;
  private long completeTicket;

  /**
   * Merges the state of one object, or the ticket floor.
   *
   * @param object the state
   * @return whether it was newer than the one held
   */
  public boolean merge(VersionedObject object) {
    if (object.id().equals(FLOOR_ID)) {
      return mergeFloor(object);
    }
    if (isKnownAbsent(object.id(), object.ticket())) {
      return false;
    }
    long floor = floor();
    if (object.ticket() < floor || (object.ticket() == floor && object.value().isEmpty())) {
      return false;
    }
    return putIfNewer(object);
  }

  /**
   * Returns whether a state is of another era of the store than the one held, and shows nothing
   * newer than that.
   *
   * @param state the state
   */
  public boolean isHeldOverEras(VersionedObject state) {
    VersionedObject held = objects.get(state.id());
    return held != null
        && StateOrder.dependsOnContent(state.id(), state.ticket(), held.ticket())
        && !order.isNewer(state, held);
  }

  /**
   * Merges the states of several objects, the ticket floor after all others.
   *
   * @param states the states, in any order
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
    if (held != null && !order.isNewer(object, held)) {
      return false;
    }
    order.replaced(Optional.ofNullable(held), object);
    put(object);
    return true;
  }

  private void put(VersionedObject object) {
    drop(object.id());
    objects.put(object.id(), object);
    digest += digestPart(object);
    highestTicket = Math.max(highestTicket, object.ticket());
  }

  private void drop(ObjectId id) {
    VersionedObject held = objects.remove(id);
    if (held != null) {
      digest -= digestPart(held);
    }
  }

  /**
   * Marks the states as complete: an object that is not held did not exist at the given number. A
   * state of such an object with a number up to it is obsolete, and is not merged.
   *
   * @param ticket the number; a lower one than before has no effect
   */
  public void markCompleteAsOf(long ticket) {
    completeTicket = Math.max(completeTicket, ticket);
  }

  /**
   * Returns whether an object that is not held is known not to exist at a number. A document of an
   * earlier era of the store stays in force although the store lost it.
   */
  private boolean isKnownAbsent(ObjectId id, long ticket) {
    boolean keptOverEras =
        id.kind() == ConfigKind.DOCUMENT && StateOrder.dependsOnContent(id, ticket, completeTicket);
    return ticket <= completeTicket && !keptOverEras && !objects.containsKey(id);
  }

  /** Returns the number up to which the states are complete, 0 if that is not known. */
  public long completeTicket() {
    return completeTicket;
  }

  // Removals do not count, since a replica that never held an object lacks its removal.
  private static long digestPart(VersionedObject object) {
    return object.value().isPresent() || object.id().equals(FLOOR_ID) ? hash(object) : 0;
  }

  // The digest is the sum of these hashes: independent of order, and updated in constant time.
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
   * Raises the ticket floor: assigns its number to the objects below it and drops the removals that
   * it covers.
   *
   * <p>May only be called on the shared state, as part of the conditional write that publishes the
   * floor. Otherwise two different states of an object could have the same number.
   *
   * @param ticket the new floor, above the current one
   * @throws IllegalArgumentException if the number is not above the current floor
   */
  public void closeUpTo(long ticket) {
    if (ticket <= floor()) {
      throw new IllegalArgumentException(
          "ticket floor " + ticket + " is not above the current floor " + floor());
    }
    for (VersionedObject held : List.copyOf(objects.values())) {
      if (held.ticket() < ticket && held.value().isPresent()) {
        put(new VersionedObject(held.id(), ticket, held.value()));
      }
    }
    mergeFloor(new VersionedObject(FLOOR_ID, ticket, Optional.empty()));
  }

  /** Returns the number up to which tickets are closed, 0 if none has been closed. */
  public long floor() {
    VersionedObject floor = objects.get(FLOOR_ID);
    return floor == null ? 0 : floor.ticket();
  }

  /**
   * Returns a 64-bit hash of the objects that are not removed and of the floor, independent of the
   * order of merging.
   */
  public long digest() {
    return digest;
  }

  /** Returns the highest ticket number merged so far, 0 if there is none. */
  public long highestTicket() {
    return highestTicket;
  }

  /** Returns a copy of all states, including removals and the floor, ordered by identity. */
  public Collection<VersionedObject> objects() {
    return List.copyOf(objects.values());
  }

  /** Returns the objects that are not removed, ordered by identity. */
  public List<ConfigObject> live() {
    List<ConfigObject> live = new ArrayList<>();
    for (VersionedObject object : objects.values()) {
      object.value().ifPresent(live::add);
    }
    return live;
  }

  /**
   * Returns the state of an object.
   *
   * @param id identity of the object, or {@link #FLOOR_ID}
   * @return its state, which may be a removal, or empty if none is held
   */
  public Optional<VersionedObject> object(ObjectId id) {
    return Optional.ofNullable(objects.get(id));
  }

  /**
   * Returns the states that another replica lacks.
   *
   * @param heldTickets the ticket number of each state that the other replica holds
   * @return the states that are newer or that it does not hold, in the order in which to merge
   *     them, followed by removals of objects that are known not to exist any more
   */
  public List<VersionedObject> newerThan(Map<ObjectId, Long> heldTickets) {
    List<VersionedObject> newer = new ArrayList<>();
    for (VersionedObject object : objects.values()) {
      long heldTicket = heldTickets.getOrDefault(object.id(), 0L);
      // The receiver decides between states of two eras, as it has the content of both.
      if (heldTicket < object.ticket()
          || StateOrder.dependsOnContent(object.id(), heldTicket, object.ticket())) {
        newer.add(object);
      }
    }
    heldTickets.forEach(
        (id, ticket) -> {
          if (isKnownAbsent(id, ticket)) {
            newer.add(new VersionedObject(id, completeTicket, Optional.empty()));
          }
        });
    return newer;
  }
}
