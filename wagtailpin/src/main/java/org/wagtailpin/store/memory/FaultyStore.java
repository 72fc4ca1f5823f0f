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
 * Injects faults between a {@link MemoryStore} and any number of clients.
 *
 * <p>The faults can be changed at any time and apply to calls that start later; a partition also
 * applies to responses in flight. With a single thread and a manual clock, the same seed gives the
 * same faults. Thread-safe.
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
   * Creates a store that initially has no faults.
   *
   * @param store the store that executes the calls
   * @param clock the clock by which the age of stale reads is measured
   * @param loop the control loop that delays and delivers requests and responses
   * @param seed the seed of the random decisions
   * @param timeoutMillis how long clients wait for a response, in milliseconds
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
   * Replaces the faults.
   *
   * @param newFaults the faults that apply from now on
   */
  public void changeFaults(StoreFaults newFaults) {
    faults = newFaults;
  }

  /** Returns the faults that currently apply. */
  public StoreFaults faults() {
    return faults;
  }

  /**
   * Creates a client of this store.
   *
   * @param name the name by which {@link StoreFaults#partitionedClients()} refers to the client
   */
  public Store client(String name) {
    return new FaultyStoreClient(name, this, store, loop, timeoutMillis);
  }

  /** Returns how often the store was restored. */
  public long era() {
    return store.era();
  }

  /** Returns a copy of the store's present content. */
  public MemoryStore.Copy copy() {
    return store.copy();
  }

  /**
   * Restores the store from a copy. Stale reads then show no state before that.
   *
   * @param copy the copy
   */
  public void restore(MemoryStore.Copy copy) {
    history.clear();
    store.restore(copy);
  }

  /** Decides at random whether to inject a fault, with the given probability. */
  boolean shouldInject(double share) {
    if (share <= 0) {
      return false;
    }
    synchronized (random) {
      return random.nextDouble() < share;
    }
  }

  /** Returns a random delay for a request or response, in milliseconds. */
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

  /** Records the current value of a key, immediately before a call that may change it. */
  void recordBeforeChange(String key) {
    ReadResult now = store.read(key).join();
    if (now instanceof ReadResult.Found found) {
      history.add(clock.millis(), key, Optional.of(found.entry()), found.storeRevision());
    } else if (now instanceof ReadResult.Absent absent) {
      history.add(clock.millis(), key, Optional.empty(), absent.storeRevision());
    }
  }

  /** Lists keys, with their current values or, for a stale read, with earlier ones. */
  CompletableFuture<ListResult> list(String prefix) {
    CompletableFuture<ListResult> now = store.list(prefix);
    if (!shouldInject(faults.staleShare())) {
      return now;
    }
    long asOfMillis = clock.millis() - randomMillis(faults.staleMaxMillis());
    return now.thenApply(result -> history.asOf(asOfMillis, (ListResult.Listed) result, prefix));
  }

  /** Reads a key, with its current value or, for a stale read, with an earlier one. */
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
