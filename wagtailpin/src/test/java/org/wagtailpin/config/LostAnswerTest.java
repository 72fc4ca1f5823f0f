package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;
import static org.wagtailpin.config.ConfigExamples.route;
import static org.wagtailpin.config.ConfigExamples.service;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.ScriptedStore.LostWrite;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.WriteResult;

class LostAnswerTest {

  private static final long ACCEPT_TIMEOUT_MILLIS = 10_000;

  private final SharedStateFixture fixture = new SharedStateFixture(1);
  private final ScriptedStore store = new ScriptedStore(fixture.memory);
  private final TicketAcceptor acceptor =
      new TicketAcceptor(store, fixture.clock, fixture.loop, SharedStateFixture.random(11));

  private static Ticket ticket(long number, ConfigObject... objects) {
    return new Ticket(number, List.of(objects), List.of());
  }

  private ReadResult readNow() {
    return fixture.memory.read(ConfigKeys.STATE).join();
  }

  private TicketResult accept(Ticket ticket) {
    return fixture.await(acceptor.accept(ticket, ACCEPT_TIMEOUT_MILLIS));
  }

  @Test
  void aWriteThatTookEffectIsFoundByItsMark() {
    store.loseNextWrite(LostWrite.TAKES_EFFECT);

    assertThat(accept(ticket(1, service("a")))).isEqualTo(new TicketResult.Accepted(1, List.of()));
    assertThat(((ReadResult.Found) readNow()).storeRevision()).isEqualTo(1);
  }

  @Test
  void aWriteThatWasLostInTransitIsRetried() {
    store.loseNextWrite(LostWrite.HAS_NO_EFFECT);

    assertThat(accept(ticket(1, service("a")))).isEqualTo(new TicketResult.Accepted(1, List.of()));
    assertThat(fixture.stored().marks()).hasSize(1);
  }

  @Test
  void aWriteThatArrivesAfterItsRetryHasNoEffect() {
    store.loseNextWrite(LostWrite.TAKES_EFFECT_LATER);
    assertThat(accept(ticket(1, service("a")))).isInstanceOf(TicketResult.Accepted.class);
    fixture.accept(ticket(2, service("b")));

    assertThat(store.deliverDelayedWrite()).isInstanceOf(WriteResult.Conflict.class);
    assertThat(fixture.stored().merged().live()).containsExactly(service("a"), service("b"));
  }

  @Test
  void anOutcomeThatCannotBeReadBackIsUnknown() {
    store.loseNextWrite(LostWrite.TAKES_EFFECT);
    CompletableFuture<TicketResult> result =
        acceptor.accept(ticket(1, service("a")), ACCEPT_TIMEOUT_MILLIS);
    fixture.loop.runDue();
    store.failReads();

    assertThat(fixture.await(result)).isInstanceOf(TicketResult.Unknown.class);
    // Offering the same ticket to a store that answers resolves the outcome.
    assertThat(fixture.accept(ticket(1, service("a"))))
        .isEqualTo(new TicketResult.AcceptedBefore(1, List.of()));
  }

  @Test
  void aRefusalWaitsUntilTheUnresolvedWriteCanNoLongerTakeEffect() {
    store.loseNextWrite(LostWrite.TAKES_EFFECT_LATER);
    Ticket mine = ticket(1, service("a"));
    Ticket other = ticket(1, service("b"));
    CompletableFuture<TicketResult> result = acceptor.accept(mine, ACCEPT_TIMEOUT_MILLIS);
    fixture.loop.runDue();
    fixture.accept("other", other);

    assertThat(fixture.await(result))
        .isEqualTo(new TicketResult.NumberTaken(1, mine.contentHash(), other.contentHash()));
    assertThat(store.deliverDelayedWrite()).isInstanceOf(WriteResult.Conflict.class);
    assertThat(fixture.stored().merged().live()).containsExactly(service("b"));
  }

  @Test
  void aStaleReadAfterALostAnswerCausesNoRefusal() {
    ReadResult beforeService = readNow();
    fixture.accept(ticket(1, service("a")));
    store.loseNextWrite(LostWrite.TAKES_EFFECT);
    CompletableFuture<TicketResult> result =
        acceptor.accept(ticket(2, route("r", "a")), ACCEPT_TIMEOUT_MILLIS);
    fixture.loop.runDue();
    // In the stale state the service is missing, and so is the mark of the write.
    store.answerNextRead(beforeService);

    assertThat(fixture.await(result)).isEqualTo(new TicketResult.Accepted(2, List.of()));
  }

  @Test
  void aStaleReadBeforeTheWriteOnlyCausesAConflict() {
    fixture.accept(ticket(1, service("a")));
    ReadResult old = readNow();
    fixture.accept(ticket(2, service("b")));
    store.answerNextRead(old);

    assertThat(accept(ticket(3, service("c")))).isEqualTo(new TicketResult.Accepted(3, List.of()));
    assertThat(fixture.stored().merged().live())
        .containsExactly(service("a"), service("b"), service("c"));
  }
}
