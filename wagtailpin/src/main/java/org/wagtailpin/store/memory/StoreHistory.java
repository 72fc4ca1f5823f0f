package org.wagtailpin.store.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.StoreEntry;

/** Earlier values of keys, from which stale reads are reconstructed. Thread-safe. */
final class StoreHistory {

  private static final int MAX_RECORDS = 10_000;

  private record PastValue(
      long untilMillis, String key, Optional<StoreEntry> entry, long storeRevision) {}

  private final Deque<PastValue> records = new ArrayDeque<>();

  /** Records the value that a key had until now; empty if it did not exist. */
  synchronized void add(
      long nowMillis, String key, Optional<StoreEntry> entry, long storeRevision) {
    records.addLast(new PastValue(nowMillis, key, entry, storeRevision));
    if (records.size() > MAX_RECORDS) {
      records.removeFirst();
    }
  }

  /** Forgets all earlier values. */
  synchronized void clear() {
    records.clear();
  }

  /**
   * Reconstructs an earlier listing by undoing the changes made since a time.
   *
   * @param millis the time, in milliseconds
   * @param now the current listing of the prefix
   */
  synchronized ListResult.Listed asOf(long millis, ListResult.Listed now, String prefix) {
    NavigableMap<String, StoreEntry> entries = byKey(now.entries());
    long storeRevision = now.storeRevision();
    Iterator<PastValue> newestFirst = records.descendingIterator();
    while (newestFirst.hasNext()) {
      PastValue past = newestFirst.next();
      if (past.untilMillis() <= millis) {
        break;
      }
      storeRevision = past.storeRevision();
      if (past.key().startsWith(prefix)) {
        undo(past, entries);
      }
    }
    List<StoreEntry> pastEntries = new ArrayList<>(entries.values());
    return new ListResult.Listed(pastEntries, storeRevision);
  }

  private static NavigableMap<String, StoreEntry> byKey(Collection<StoreEntry> entries) {
    NavigableMap<String, StoreEntry> byKey = new TreeMap<>();
    entries.forEach(entry -> byKey.put(entry.key(), entry));
    return byKey;
  }

  private static void undo(PastValue past, NavigableMap<String, StoreEntry> entries) {
    if (past.entry().isPresent()) {
      entries.put(past.key(), past.entry().get());
    } else {
      entries.remove(past.key());
    }
  }
}
