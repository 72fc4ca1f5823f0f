package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;
import static org.wagtailpin.config.ConfigExamples.service;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.memory.MemoryStore;
import org.wagtailpin.store.memory.StoreFaults;

class StoreConfigWatcherTest {

  private static final long SETTLE_MILLIS = 60_000;

  private final SharedStateFixture fixture = new SharedStateFixture(3);

  private static Ticket ticket(long number, ConfigObject... objects) {
    return new Ticket(number, List.of(objects), List.of());
  }

  @Test
  void aTicketIsActiveAsSoonAsTheWatchIsAnswered() {
    SharedStateFixture.Entry entry = fixture.entry("entry");
    fixture.loop.advance(10);
    fixture.accept(ticket(1, service("a")));
    fixture.loop.advance(10);

    assertThat(entry.published.current().service("a")).isPresent();
    assertThat(entry.merger.report().source()).isEqualTo("store");
    assertThat(entry.merger.report().includes(ticket(1, service("a")))).isTrue();
    assertThat(entry.merger.report().sinceWallMillis()).isAtMost(fixture.clock.wallMillis());
  }

  @Test
  void anEntryThatStartsLaterReadsTheAcceptedState() {
    fixture.accept(ticket(1, service("a")));
    SharedStateFixture.Entry entry = fixture.entry("entry");
    fixture.loop.advance(10);

    assertThat(entry.published.current().service("a")).isPresent();
  }

  @Test
  void aStoreOutageKeepsTheActiveConfiguration() {
    SharedStateFixture.Entry entry = fixture.entry("entry");
    fixture.accept(ticket(1, service("a")));
    fixture.loop.advance(10);
    fixture.faulty.changeFaults(StoreFaults.builder().partition(Set.of("entry")).build());
    fixture.accept(ticket(2, service("b")));
    fixture.loop.advance(2 * SETTLE_MILLIS);
    assertThat(entry.published.current().service("a")).isPresent();
    assertThat(entry.published.current().service("b")).isEmpty();
    assertThat(entry.watcher.fault()).isPresent();

    fixture.faulty.changeFaults(StoreFaults.none());
    fixture.loop.advance(SETTLE_MILLIS);
    assertThat(entry.published.current().service("b")).isPresent();
    assertThat(entry.watcher.fault()).isEmpty();
  }

  @Test
  void aWatchThatFellBehindReadsTheStateAgain() {
    SharedStateFixture.Entry entry = fixture.entry("entry");
    fixture.loop.advance(10);
    fixture.faulty.changeFaults(StoreFaults.builder().slowWatch(0, 1).build());
    fixture.accept(ticket(1, service("a")));
    fixture.loop.advance(SETTLE_MILLIS);

    assertThat(entry.published.current().service("a")).isPresent();
  }

  @Test
  void aRolledBackStoreIsReadAgainAndRevertsNothing() {
    fixture.accept(ticket(1, service("a")));
    fixture.accept(ticket(2, service("b")));
    MemoryStore earlier = new MemoryStore(fixture.clock, fixture.loop);
    TicketAcceptor acceptor =
        new TicketAcceptor(earlier, fixture.clock, fixture.loop, SharedStateFixture.random(6));
    fixture.await(acceptor.accept(ticket(1, service("a")), SETTLE_MILLIS));
    PublishedConfig published = new PublishedConfig();
    ConfigMerger merger = new ConfigMerger(fixture.clock, new MergedConfig(), published);
    StoreConfigWatcher watcher =
        new StoreConfigWatcher(
            new RolledBackStore(fixture.memory, earlier, 1),
            fixture.loop,
            merger,
            SharedStateFixture.random(5));
    watcher.start();
    fixture.loop.advance(SETTLE_MILLIS);
    assertThat(published.current().service("b")).isPresent();

    fixture.await(acceptor.accept(ticket(3, service("c")), SETTLE_MILLIS));
    fixture.loop.advance(SETTLE_MILLIS);
    assertThat(published.current().service("b")).isPresent();
    assertThat(published.current().service("c")).isPresent();
  }

  @Test
  void anUnreadableStateKeepsTheActiveConfiguration() {
    SharedStateFixture.Entry entry = fixture.entry("entry");
    fixture.accept(ticket(1, service("a")));
    fixture
        .memory
        .write(ConfigKeys.STATE, new byte[] {1}, new WriteCondition.Always(), Optional.empty())
        .join();
    fixture.loop.advance(10);

    assertThat(entry.published.current().service("a")).isPresent();
    assertThat(entry.watcher.isRunning()).isTrue();
  }

  @Test
  void aStoppedWatcherIgnoresOutstandingAnswers() {
    SharedStateFixture.Entry entry = fixture.entry("entry");
    fixture.loop.advance(10);
    entry.watcher.stop();
    fixture.accept(ticket(1, service("a")));
    fixture.loop.advance(10);
    assertThat(entry.published.current().service("a")).isEmpty();

    entry.watcher.start();
    fixture.loop.advance(10);
    assertThat(entry.published.current().service("a")).isPresent();
  }
}
