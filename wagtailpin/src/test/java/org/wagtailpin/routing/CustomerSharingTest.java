package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.call.RecordingEventLog;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.region.AllowedRegions;

/** Tests which calls are refused for exceeding their customer's share. */
class CustomerSharingTest {

  private static final int WORK_MILLIS = 10;
  private static final int MAX_QUEUE_MILLIS = 50;

  private final RecordingEventLog events = new RecordingEventLog();
  private final PlacementFixture fixture = new PlacementFixture();
  private QueueingPlacement placement;

  @BeforeEach
  void start() {
    fixture
        .servers(1, 1)
        .tune(Tunable.SERVER_QUEUE, 0)
        .tune(Tunable.MAX_QUEUE_MILLIS, MAX_QUEUE_MILLIS)
        .publish();
    placement = fixture.placement(PlacementFixture.SEED, new EventLogPlacementObserver(events));
  }

  private RecordingListener submit(Optional<String> customer) {
    CallDescriptor plain = fixture.call(2_000);
    CallDescriptor call =
        new CallDescriptor(
            plain.requestId(),
            plain.route(),
            true,
            customer.orElse("group"),
            0,
            plain.deadlineMillis(),
            customer.map(
                name -> new ConfigCustomer(name, List.of(), Optional.empty(), 0, 0, List.of())),
            AllowedRegions.everywhere());
    RecordingListener listener = new RecordingListener();
    placement.request(call, AttemptHistory.none(), listener);
    return listener;
  }

  /** Has more calls made than the slot can serve, and ends the running one after each step. */
  private void flood(Optional<String> customer) {
    List<RecordingListener> undecided = new ArrayList<>();
    for (int step = 0; step < 100; step++) {
      for (int i = 0; i < 5; i++) {
        undecided.add(submit(customer));
      }
      fixture.loop.advance(WORK_MILLIS);
      List<RecordingListener> running =
          undecided.stream().filter(one -> one.grant().isPresent()).toList();
      undecided.removeIf(one -> !one.undecided());
      running.forEach(
          one -> one.grant().orElseThrow().finished(PlacementFixture.answered(WORK_MILLIS)));
    }
  }

  private List<Event> shareRefusals() {
    return events.of(EventKind.REFUSED).stream()
        .filter(event -> event.value("rule").equals(Optional.of("customer-share")))
        .toList();
  }

  @Test
  void aRefusalForTheShareIsLoggedWithItsInputsAndTheirAge() {
    flood(Optional.of("flood"));

    Event refused = shareRefusals().get(0);
    assertThat(refused.value("customer")).isEqualTo(Optional.of("flood"));
    assertThat(refused.value("domainSums")).isEqualTo(Optional.of(false));
    assertThat(refused.value("sumsAgeMillis")).isPresent();
    assertThat((double) refused.value("offeredSlots").orElseThrow())
        .isGreaterThan((double) refused.value("shareSlots").orElseThrow());
  }

  @Test
  void callsWithoutACustomerAreNotRefusedForAShare() {
    flood(Optional.empty());

    assertThat(events.of(EventKind.REFUSED)).isNotEmpty();
    assertThat(shareRefusals()).isEmpty();
  }

  // Guards against servers that idle while their customers' calls are refused.
  @Test
  void noCallIsRefusedForItsShareWhileAServerIsFree() {
    flood(Optional.of("flood"));
    fixture.loop.advance(2 * MAX_QUEUE_MILLIS);
    int refusedBefore = shareRefusals().size();
    for (int i = 0; i < 20; i++) {
      RecordingListener alone = submit(Optional.of("flood"));
      alone.grant().orElseThrow().finished(PlacementFixture.answered(WORK_MILLIS));
    }

    assertThat(refusedBefore).isGreaterThan(0);
    assertThat(shareRefusals()).hasSize(refusedBefore);
  }
}
