package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;
import static org.wagtailpin.config.ConfigExamples.at;
import static org.wagtailpin.config.ConfigExamples.route;
import static org.wagtailpin.config.ConfigExamples.service;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.memory.StoreFaults;

class TicketAcceptorTest {

  private final SharedStateFixture fixture = new SharedStateFixture(1);

  private static Ticket ticket(long number, ConfigObject... objects) {
    return new Ticket(number, List.of(objects), List.of());
  }

  private static Ticket removal(long number, ObjectId... ids) {
    return new Ticket(number, List.of(), List.of(ids));
  }

  private static ConfigService serviceWithoutProbePath(String name) {
    return new ConfigService(name, false, List.of(), Optional.empty());
  }

  @Test
  void anAcceptedTicketIsInTheSharedState() {
    assertThat(fixture.accept(ticket(1, service("a"), route("r", "a"))))
        .isEqualTo(new TicketResult.Accepted(1, List.of()));

    assertThat(fixture.stored().merged().live()).containsExactly(service("a"), route("r", "a"));
  }

  @Test
  void theSameTicketAgainSucceedsWithoutEffect() {
    fixture.accept(ticket(1, service("a"), service("b")));
    long revision =
        ((ReadResult.Found) fixture.memory.read(ConfigKeys.STATE).join()).storeRevision();

    // The order of objects is not significant.
    assertThat(fixture.accept(ticket(1, service("b"), service("a"))))
        .isEqualTo(new TicketResult.AcceptedBefore(1, List.of()));
    assertThat(((ReadResult.Found) fixture.memory.read(ConfigKeys.STATE).join()).storeRevision())
        .isEqualTo(revision);
  }

  @Test
  void theSameNumberWithOtherContentIsRefusedAndReportsBothHashes() {
    Ticket first = ticket(1, service("a"));
    Ticket second = ticket(1, serviceWithoutProbePath("a"));
    fixture.accept(first);

    assertThat(fixture.accept(second))
        .isEqualTo(new TicketResult.NumberTaken(1, second.contentHash(), first.contentHash()));
    assertThat(fixture.stored().merged().live()).containsExactly(service("a"));
  }

  @Test
  void aLowerTicketKeepsNewerObjectsAndReportsThem() {
    fixture.accept(ticket(9, service("a")));

    assertThat(
            fixture.accept(ticket(3, serviceWithoutProbePath("a"), serviceWithoutProbePath("b"))))
        .isEqualTo(new TicketResult.Accepted(3, List.of(at(9, service("a")))));
    assertThat(fixture.stored().merged().live())
        .containsExactly(service("a"), serviceWithoutProbePath("b"));
  }

  @Test
  void aRemovedObjectStaysRemovedForLowerTickets() {
    fixture.accept(ticket(1, service("a")));
    fixture.accept(removal(5, service("a").id()));

    TicketResult.Accepted late =
        (TicketResult.Accepted) fixture.accept(ticket(4, serviceWithoutProbePath("a")));

    assertThat(late.kept()).containsExactly(ConfigExamples.removed(5, service("a").id()));
    assertThat(fixture.stored().merged().live()).isEmpty();
  }

  @Test
  void aTicketThatWouldLeaveADanglingReferenceIsRefused() {
    fixture.accept(ticket(1, service("a"), route("r", "a")));

    TicketResult.Refused refused =
        (TicketResult.Refused)
            fixture.accept(new Ticket(2, List.of(service("b")), List.of(service("a").id())));

    assertThat(refused.problems())
        .containsExactly(
            new TicketProblem(route("r", "a").id(), "service", "a", "the name of a service"));
    assertThat(fixture.stored().merged().live()).containsExactly(service("a"), route("r", "a"));
    assertThat(fixture.stored().mark(2)).isEmpty();
  }

  @Test
  void aStateAboveTheMaximumValueSizeIsRefused() {
    ConfigServer[] servers = new ConfigServer[60_000];
    Random random = new Random(5);
    for (int i = 0; i < servers.length; i++) {
      String name = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
      servers[i] =
          new ConfigServer(name, "10.0." + i / 250 + "." + i % 250, 80, "r", "d", 1, 1, false);
    }
    TicketResult result =
        fixture.accept(ticket(1, service("a"), ConfigExamples.serverSet("s", "a", servers)));

    assertThat(result).isInstanceOf(TicketResult.TooLarge.class);
    assertThat(fixture.stored().marks()).isEmpty();
  }

  @Test
  void twoOperatorsRacingLoseNoUpdate() {
    CompletableFuture<TicketResult> one =
        fixture.operator("one").accept(ticket(1, service("a")), 10_000);
    CompletableFuture<TicketResult> other =
        fixture.operator("other").accept(ticket(2, service("b")), 10_000);

    assertThat(fixture.await(one)).isInstanceOf(TicketResult.Accepted.class);
    assertThat(fixture.await(other)).isInstanceOf(TicketResult.Accepted.class);
    assertThat(fixture.stored().merged().live()).containsExactly(service("a"), service("b"));
  }

  @Test
  void twoOperatorsRacingWithOneNumberEndWithOneRefused() {
    CompletableFuture<TicketResult> one =
        fixture.operator("one").accept(ticket(1, service("a")), 10_000);
    CompletableFuture<TicketResult> other =
        fixture.operator("other").accept(ticket(1, serviceWithoutProbePath("a")), 10_000);

    assertThat(List.of(fixture.await(one).getClass(), fixture.await(other).getClass()))
        .containsExactly(TicketResult.Accepted.class, TicketResult.NumberTaken.class);
  }

  @Test
  void aStoreThatRefusesCallsGivesNotAccepted() {
    fixture.faulty.changeFaults(StoreFaults.builder().down(true).build());

    TicketResult result = fixture.accept(ticket(1, service("a")));

    assertThat(result).isInstanceOf(TicketResult.NotAccepted.class);
    assertThat(((TicketResult.NotAccepted) result).fault().detail())
        .isEqualTo("connection refused");
  }

  @Test
  void anUnreadableStateIsNeverOverwritten() {
    byte[] foreign = {1, 2, 3};
    fixture
        .memory
        .write(ConfigKeys.STATE, foreign, new WriteCondition.Always(), Optional.empty())
        .join();

    assertThat(fixture.accept(ticket(1, service("a"))))
        .isInstanceOf(TicketResult.NotAccepted.class);
    ReadResult.Found found = (ReadResult.Found) fixture.memory.read(ConfigKeys.STATE).join();
    assertThat(found.entry().value()).isEqualTo(foreign);
  }
}
