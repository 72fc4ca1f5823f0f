package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The shared state of the configuration, stored as one value: the merged objects and the marks of
 * the accepted tickets.
 *
 * <p>The numbers of marks and removals are bounded: when one exceeds its maximum, the lower half of
 * its ticket numbers is closed, see {@link MergedConfig#closeUpTo}. Not thread-safe.
 */
public final class ConfigState {

  /** Maximum number of ticket marks kept. */
  public static final int MAX_MARKS = 4000;

  /** Maximum number of removals kept. */
  public static final int MAX_REMOVALS = 2000;

  private final MergedConfig merged = new MergedConfig();
  private final NavigableMap<Long, TicketMark> marks = new TreeMap<>();

  /**
   * Creates a state.
   *
   * @param objects the states of objects, removals and the ticket floor among them
   * @param marks the marks of accepted tickets
   */
  public ConfigState(Collection<VersionedObject> objects, Collection<TicketMark> marks) {
    merged.mergeAll(objects);
    marks.forEach(mark -> this.marks.put(mark.number(), mark));
  }

  /** Returns a new state without objects and marks. */
  public static ConfigState empty() {
    return new ConfigState(List.of(), List.of());
  }

  /** Returns the merged objects; changes to them change this state. */
  public MergedConfig merged() {
    return merged;
  }

  /** Returns a copy of the marks in ascending order of ticket numbers. */
  public Collection<TicketMark> marks() {
    return List.copyOf(marks.values());
  }

  /**
   * Returns the mark of a ticket.
   *
   * @param number the ticket's number
   * @return its mark, or empty if it was not accepted or its number has been closed
   */
  public Optional<TicketMark> mark(long number) {
    return Optional.ofNullable(marks.get(number));
  }

  /**
   * Returns the states of those objects of a ticket that a higher ticket has changed.
   *
   * @param ticket a ticket, accepted or not
   */
  public List<VersionedObject> newerStates(Ticket ticket) {
    List<VersionedObject> kept = new ArrayList<>();
    for (VersionedObject state : ticket.states()) {
      merged
          .object(state.id())
          .filter(held -> held.ticket() > ticket.number())
          .ifPresent(kept::add);
    }
    return kept;
  }

  /**
   * Applies a ticket, and closes ticket numbers if there are too many marks or removals.
   *
   * @param ticket a ticket that was checked, above the floor and without a mark
   * @param attempt identifier of the attempt that applies it
   */
  public void apply(Ticket ticket, String attempt) {
    merged.mergeAll(ticket.states());
    marks.put(ticket.number(), new TicketMark(ticket.number(), ticket.contentHash(), attempt));
    limitMarks(ticket.number());
    limitRemovals(ticket.number());
  }

  private void limitMarks(long newest) {
    if (marks.size() > MAX_MARKS) {
      closeLowerHalf(new ArrayList<>(marks.keySet()), newest);
    }
  }

  private void limitRemovals(long newest) {
    List<Long> removals = new ArrayList<>();
    for (VersionedObject object : merged.objects()) {
      if (object.value().isEmpty() && !object.id().equals(MergedConfig.FLOOR_ID)) {
        removals.add(object.ticket());
      }
    }
    if (removals.size() > MAX_REMOVALS) {
      removals.sort(null);
      closeLowerHalf(removals, newest);
    }
  }

  // The ticket just applied is never closed, so that its operator can read its mark back.
  private void closeLowerHalf(List<Long> numbers, long newest) {
    long floor = Math.min(numbers.get(numbers.size() / 2), newest - 1);
    if (floor > merged.floor()) {
      merged.closeUpTo(floor);
      marks.headMap(floor, true).clear();
    }
  }
}
