package org.wagtailpin.standins.store;

import java.util.Optional;
import org.wagtailpin.store.memory.FaultyStore;
import org.wagtailpin.store.memory.MemoryStore;

/** The last copy that was made of the store's content. Thread-safe. */
final class StoreCopies {

  private Optional<MemoryStore.Copy> last = Optional.empty();

  synchronized void take(FaultyStore store) {
    last = Optional.of(store.copy());
  }

  /** Restores the store from the last copy; returns false if there is none. */
  synchronized boolean restore(FaultyStore store) {
    last.ifPresent(store::restore);
    return last.isPresent();
  }
}
