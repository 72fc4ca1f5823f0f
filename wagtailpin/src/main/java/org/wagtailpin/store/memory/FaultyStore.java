package org.wagtailpin.store.memory;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreEntry;

/**
 * A store that shows faults, seen by any number of clients.
 *
 * <p>The faults can be changed at any time and hold for calls that begin later; a partition holds
 * for the answers under way as well. With one thread and controlled time, equal seeds give equal
 * faults. Safe for use by threads.
 */
public final class FaultyStore {

  private final MemoryStore store;
  private final Clock clock;
  private final ControlLoop loop;
  private final long timeoutMillis;
  private final UniformRandomProvider random;
  private final StoreHistory history = new StoreHistory();
  private volatile StoreFaults faults = StoreFaults.none();

  /**
   * Creates a store without faults at first.
   *
   * @param store holds the keys
   * @param clock the time
   * @param loop carries requests and answers
   * @param seed the seed of all chance
   * @param timeoutMillis how long clients wait for an answer, in milliseconds
   */
  public FaultyStore(
      MemoryStore store, Clock clock, ControlLoop loop, long seed, long timeoutMillis) {
    this.store = store;
    this.clock = clock;
    this.loop = loop;
    this.timeoutMillis = timeoutMillis;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /**
   * Changes the faults.
   *
   * @param newFaults the faults from now on
   */
  public void changeFaults(StoreFaults newFaults) {
    faults = newFaults;
  }

  /** Returns the faults in force. */
  public StoreFaults faults() {
    return faults;
  }

  /**
   * Returns the store as one client sees it.
   *
   * @param name the client's name, by which partitions name it
   */
  public Store client(String name) {
    return new FaultyStoreClient(name, this, store, loop, timeoutMillis);
  }

  /** Returns true for a share of the calls. */
  boolean shouldInject(double share) {
    if (share <= 0) {
      return false;
    }
    synchronized (random) {
      return random.nextDouble() < share;
    }
  }

  /** Returns how long a message travels, in milliseconds. */
  long randomDelayMillis() {
    return randomMillis(faults.delayMaxMillis());
  }

  private long randomMillis(long maxMillis) {
    if (maxMillis <= 0) {
      return 0;
    }
    synchronized (random) {
      return random.nextLong(maxMillis + 1);
    }
  }

  /** Notes what a key holds, just before a call that may change it. */
  void recordBeforeChange(String key) {
    ReadResult now = store.read(key).join();
    if (now instanceof ReadResult.Found found) {
      history.add(clock.millis(), key, Optional.of(found.entry()), found.storeRevision());
    } else if (now instanceof ReadResult.Absent absent) {
      history.add(clock.millis(), key, Optional.empty(), absent.storeRevision());
    }
  }

  /** Lists keys, now or as they were a while ago. */
  CompletableFuture<ListResult> list(String prefix) {
    CompletableFuture<ListResult> now = store.list(prefix);
    if (!shouldInject(faults.staleShare())) {
      return now;
    }
    long asOfMillis = clock.millis() - randomMillis(faults.staleMaxMillis());
    return now.thenApply(result -> history.asOf(asOfMillis, (ListResult.Listed) result, prefix));
  }

  /** Reads a key, now or as it was a while ago. */
  CompletableFuture<ReadResult> read(String key) {
    return list(key).thenApply(result -> findKey(key, (ListResult.Listed) result));
  }

  private static ReadResult findKey(String key, ListResult.Listed listed) {
    List<StoreEntry> entries = listed.entries();
    for (StoreEntry entry : entries) {
      if (entry.key().equals(key)) {
        return new ReadResult.Found(entry, listed.storeRevision());
      }
    }
    return new ReadResult.Absent(listed.storeRevision());
  }
}
