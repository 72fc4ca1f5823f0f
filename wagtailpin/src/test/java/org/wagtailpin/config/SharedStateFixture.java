package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.memory.FaultyStore;
import org.wagtailpin.store.memory.MemoryStore;

/** A store with fault injection and a manual clock, with operators and watching entries. */
final class SharedStateFixture {

  static final long STORE_TIMEOUT_MILLIS = 500;

  /** An entry that watches the shared state and records each object whose ticket decreases. */
  static final class Entry {
    final MergedConfig merged = new MergedConfig();
    final PublishedConfig published = new PublishedConfig();
    final ConfigMerger merger;
    final StoreConfigWatcher watcher;
    final List<String> reversals = new ArrayList<>();
    private final Map<ObjectId, Long> highest = new HashMap<>();

    private Entry(ManualClock clock, ManualControlLoop loop, Store store, long seed) {
      merger = new ConfigMerger(clock, merged, published);
      watcher = new StoreConfigWatcher(store, loop, merger, random(seed));
      merger.addListener(this::noteReversals);
    }

    private void noteReversals(MergedConfig now) {
      for (VersionedObject object : now.objects()) {
        Long before = highest.put(object.id(), object.ticket());
        if (before != null && before > object.ticket()) {
          reversals.add(object.id() + " from " + before + " to " + object.ticket());
        }
      }
    }
  }

  final ManualClock clock = new ManualClock(1000);
  final ManualControlLoop loop = new ManualControlLoop(clock);
  final MemoryStore memory = new MemoryStore(clock, loop);
  final FaultyStore faulty;
  private long lastSeed;

  SharedStateFixture(long seed) {
    faulty = new FaultyStore(memory, clock, loop, seed, STORE_TIMEOUT_MILLIS);
    lastSeed = seed * 1000;
  }

  static UniformRandomProvider random(long seed) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  TicketAcceptor operator(String name) {
    return new TicketAcceptor(faulty.client(name), clock, loop, random(++lastSeed));
  }

  Entry entry(String name) {
    Entry entry = new Entry(clock, loop, faulty.client(name), ++lastSeed);
    entry.watcher.start();
    return entry;
  }

  TicketResult accept(Ticket ticket) {
    return accept("operator", ticket);
  }

  TicketResult accept(String operator, Ticket ticket) {
    CompletableFuture<TicketResult> result = operator(operator).accept(ticket, 30_000);
    return await(result);
  }

  <R> R await(CompletableFuture<R> result) {
    for (int step = 0; step < 1000 && !result.isDone(); step++) {
      loop.advance(100);
    }
    if (!result.isDone()) {
      throw new AssertionError("no result after 100 s on the manual clock");
    }
    return result.join();
  }

  /** Reads the shared state directly, bypassing the injected faults. */
  ConfigState stored() {
    ReadResult read = memory.read(ConfigKeys.STATE).join();
    if (read instanceof ReadResult.Found found) {
      return ((ConfigStateReadResult.Read) new ConfigStateCodec().read(found.entry().value()))
          .state();
    }
    return ConfigState.empty();
  }
}
