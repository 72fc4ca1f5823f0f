package org.wagtailpin.registry;

import static com.google.common.truth.Truth.assertThat;

import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.error.Fault;
import org.wagtailpin.eventlog.NoOpEventLog;
import org.wagtailpin.routing.SharedRandom;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreChange;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.memory.MemoryStore;

class PrefixWatcherTest {

  private static final long WAIT_MILLIS = 5_000;
  private static final long LONGEST_WATCH_MILLIS = 30_000;

  private final ManualClock clock = new ManualClock(1_000_000);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final MemoryStore store = new MemoryStore(clock, loop);
  private final RecordingListener listener = new RecordingListener();
  private final PrefixWatcher watcher =
      new PrefixWatcher(
          store, loop, "", new SharedRandom(1), () -> 10, listener, new NoOpEventLog());

  /** Records the keys of its results, and throws an exception for some of them. */
  private static final class RecordingListener implements PrefixWatcher.Listener {
    private final List<String> keys = new ArrayList<>();
    private int failuresLeft;
    private int failures;
    private Error error;
    private final List<WatchPhase.Awaits> phases = new ArrayList<>();
    private WatchPhase.Awaits phaseOfLastResult = WatchPhase.Awaits.STOPPED;

    @Override
    public void phaseChanged(WatchPhase.Awaits awaits) {
      phases.add(awaits);
    }

    @Override
    public void listed(List<StoreEntry> entries, long revision) {
      failIfDue();
      entries.forEach(entry -> keys.add(entry.key()));
    }

    @Override
    public void changed(List<StoreChange> changes, long revision) {
      phaseOfLastResult = phases.get(phases.size() - 1);
      failIfDue();
      changes.forEach(change -> keys.add(change.key()));
    }

    @Override
    public void callFailed(Fault fault) {}

    @Override
    public void callSucceeded() {}

    @Override
    public void processingFailed(long revision, Throwable cause) {
      failures++;
    }

    private void failIfDue() {
      if (failuresLeft > 0) {
        failuresLeft--;
        if (error != null) {
          throw error;
        }
        throw new IllegalStateException("test");
      }
    }
  }

  private void put(String key) {
    store.write(
        key, key.getBytes(StandardCharsets.UTF_8), new WriteCondition.Always(), Optional.empty());
    loop.advance(WAIT_MILLIS);
  }

  @Test
  void aChangeOnWhichTheListenerThrowsIsListedAgainAndLaterOnesAreWatched() {
    watcher.start();
    listener.failuresLeft = 1;
    put("a");
    put("b");

    assertThat(listener.failures).isEqualTo(1);
    assertThat(listener.keys).containsAtLeast("a", "b");
  }

  @Test
  void aListOnWhichTheListenerThrowsIsRepeated() {
    listener.failuresLeft = 2;
    watcher.start();
    put("a");
    put("b");

    assertThat(listener.failures).isEqualTo(2);
    assertThat(listener.keys).containsAtLeast("a", "b");
  }

  @Test
  void whatTheWatchWaitsForIsReportedFromItsStartToItsStop() {
    watcher.start();
    loop.advance(WAIT_MILLIS);
    assertThat(listener.phases)
        .containsExactly(WatchPhase.Awaits.LIST, WatchPhase.Awaits.NOTHING, WatchPhase.Awaits.WATCH)
        .inOrder();

    listener.phases.clear();
    put("a");
    watcher.stop();
    assertThat(listener.phases)
        .containsExactly(
            WatchPhase.Awaits.NOTHING,
            WatchPhase.Awaits.PAUSE,
            WatchPhase.Awaits.WATCH,
            WatchPhase.Awaits.STOPPED)
        .inOrder();
  }

  @Test
  void whileAResultIsProcessedTheWatchWaitsForNothing() {
    watcher.start();
    put("a");

    assertThat(listener.phaseOfLastResult).isEqualTo(WatchPhase.Awaits.NOTHING);
  }

  // Guards against a watch that ended for good for lack of memory in a burst of requests.
  @Test
  void anErrorOfTheListenerEndsNoWatch() {
    listener.error = new LinkageError("test");
    watcher.start();
    listener.failuresLeft = 1;
    put("a");
    put("b");

    assertThat(listener.failures).isEqualTo(1);
    assertThat(listener.keys).containsAtLeast("a", "b");
  }

  // Guards against a list that is abandoned with each test of the store that succeeds, so that the
  // entry has no configuration for as long as lists take longer than the pause between tests.
  @Test
  void aListThatTakesLongIsNotAbandonedWhenTheStoreIsFoundToAnswer() {
    PrefixWatcher slow = watcherOf(answeringListsAfter(1_200));
    store.write("a", new byte[0], new WriteCondition.Always(), Optional.empty());
    slow.start();
    for (int i = 0; i < 4; i++) {
      loop.advance(700);
      slow.restart();
    }

    assertThat(listener.keys).contains("a");
  }

  private Store answeringListsAfter(long millis) {
    return answeringLists(list -> delayed(list, millis));
  }

  private Store answeringLists(UnaryOperator<CompletableFuture<ListResult>> change) {
    return (Store)
        Proxy.newProxyInstance(
            Store.class.getClassLoader(),
            new Class<?>[] {Store.class},
            (proxy, method, args) ->
                method.getName().equals("list")
                    ? change.apply(store.list((String) args[0]))
                    : method.invoke(store, args));
  }

  private <R> CompletableFuture<R> delayed(CompletableFuture<R> answer, long millis) {
    CompletableFuture<R> late = new CompletableFuture<>();
    loop.schedule(millis, () -> late.complete(answer.join()));
    return late;
  }

  private PrefixWatcher watcherOf(Store client) {
    return new PrefixWatcher(
        client, loop, "", new SharedRandom(1), () -> 10, listener, new NoOpEventLog());
  }

  /** Returns a store whose n-th list tells no keys and a revision. */
  private Store answeringList(int number, long revision) {
    AtomicInteger lists = new AtomicInteger();
    return answeringLists(
        list ->
            lists.incrementAndGet() == number
                ? CompletableFuture.completedFuture(new ListResult.Listed(List.of(), revision))
                : list);
  }

  // Guards against an entry that takes no version any more after one answer with a revision that
  // the store does not have.
  @Test
  void listsThatStayBehindAWrongRevisionAreTaken() {
    watcherOf(answeringList(1, 1_000_000)).start();
    put("a");
    loop.advance(LONGEST_WATCH_MILLIS);
    put("b");

    assertThat(listener.keys).containsAtLeast("a", "b");
  }

  @Test
  void aListThatLiesBehindOnceIsNotTaken() {
    put("a");
    put("b");
    PrefixWatcher misled = watcherOf(answeringList(2, 1));
    misled.start();
    loop.advance(1);
    misled.restart();
    loop.advance(WAIT_MILLIS);

    assertThat(listener.keys).containsExactly("a", "b", "a", "b");
  }
}
