package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailpin.config.Tunable;

/** Requests with little time left, on routes whose work this entry has and has not yet seen. */
class AddedRouteTest {

  private static final int SLOTS = 6;
  private static final int LONG_MILLIS = 600;
  private static final int SHORT_MILLIS = 10;
  private static final int LEFT_MILLIS = 900;
  private static final int STEP_MILLIS = 10;
  private static final int PLAY_MILLIS = 20_000;
  private static final int SHORT_PERIOD_MILLIS = 2_000;
  private static final int ADDED_AFTER_MILLIS = 4_000;
  private static final LoadReport OTHERS_USE_HALF = new LoadReport(3, 0, false);

  private final PlacementFixture fixture = new PlacementFixture();

  /** A call that was submitted, and how long its work takes once it has a server. */
  private record Submitted(String route, RecordingListener listener, int workMillis) {}

  private record Running(Grant grant, int workMillis, long endsMillis) {}

  private static final class Share {
    private int granted;
    private int all;

    double value() {
      return (double) granted / all;
    }
  }

  /** One entry of a fleet, which sees its own part of the requests and nothing of the others'. */
  private static final class PlayedEntry {
    private final PlacementFixture fixture = new PlacementFixture();
    private final QueueingPlacement placement;
    private final Map<String, Share> shares;
    private final List<Submitted> undecided = new ArrayList<>();
    private final List<Running> running = new ArrayList<>();

    PlayedEntry(int servers, long seed, Map<String, Share> shares) {
      this.placement = fixture.servers(servers, SLOTS).publish().placement(seed);
      this.shares = shares;
    }

    void play(int longMillis, int longPeriodMillis, int offsetMillis) {
      for (int millis = 0; millis < PLAY_MILLIS; millis += STEP_MILLIS) {
        if (millis % longPeriodMillis == 0) {
          submit("first", 10_000, longMillis);
        }
        if (millis % SHORT_PERIOD_MILLIS == offsetMillis && millis >= ADDED_AFTER_MILLIS) {
          submit("first", LEFT_MILLIS, SHORT_MILLIS);
          submit("added", LEFT_MILLIS, SHORT_MILLIS);
        }
        fixture.loop.advance(STEP_MILLIS);
        settle();
      }
    }

    private void submit(String route, int deadlineMillis, int workMillis) {
      RecordingListener listener = new RecordingListener();
      placement.request(
          fixture.call(route, "group", 0, false, deadlineMillis), AttemptHistory.none(), listener);
      undecided.add(new Submitted(route, listener, workMillis));
    }

    private void settle() {
      long now = fixture.clock.millis();
      for (Submitted call : List.copyOf(undecided)) {
        if (!call.listener().undecided()) {
          undecided.remove(call);
          call.listener()
              .grant()
              .ifPresent(
                  grant ->
                      running.add(new Running(grant, call.workMillis(), now + call.workMillis())));
          count(call);
        }
      }
      for (Running run : List.copyOf(running)) {
        if (run.endsMillis() <= now) {
          running.remove(run);
          run.grant().finished(PlacementFixture.answered(run.workMillis(), OTHERS_USE_HALF));
        }
      }
    }

    private void count(Submitted call) {
      if (call.workMillis() == SHORT_MILLIS) {
        Share share = shares.computeIfAbsent(call.route(), route -> new Share());
        share.all++;
        share.granted += call.listener().grant().isPresent() ? 1 : 0;
      }
    }
  }

  /** Returns by route which share of the short requests got a server. */
  private static Map<String, Share> playFleet(
      int entries, int servers, int longMillis, int longPeriodMillis) {
    Map<String, Share> shares = new HashMap<>();
    for (int entry = 0; entry < entries; entry++) {
      PlayedEntry played = new PlayedEntry(servers, entry, shares);
      played.play(longMillis, longPeriodMillis, STEP_MILLIS * (entry % 100));
    }
    return shares;
  }

  @ParameterizedTest
  @CsvSource({
    "2, 20, 600, 50",
    "15, 25, 600, 100",
    "25, 50, 600, 200",
    "152, 206, 600, 400",
    "2, 20, 1500, 100",
    "15, 25, 2000, 300",
    "152, 206, 1500, 500"
  })
  void shortRequestsOnAddedRoutesAreServedWhileServersAreFree(
      int entries, int servers, int longMillis, int longPeriodMillis) {
    Map<String, Share> shares = playFleet(entries, servers, longMillis, longPeriodMillis);

    assertThat(shares.get("added").value()).isAtLeast(0.9);
  }

  @ParameterizedTest
  @CsvSource({"2, 20, 600, 50", "15, 25, 600, 100", "25, 50, 600, 200", "152, 206, 600, 400"})
  void shortRequestsOnRoutesOfLongWorkAreServedWhileServersAreFree(
      int entries, int servers, int longMillis, int longPeriodMillis) {
    Map<String, Share> shares = playFleet(entries, servers, longMillis, longPeriodMillis);

    assertThat(shares.get("first").value()).isAtLeast(0.9);
  }

  private RecordingListener submit(QueueingPlacement placement, String route, int deadlineMillis) {
    RecordingListener listener = new RecordingListener();
    placement.request(
        fixture.call(route, "group", 0, false, deadlineMillis), AttemptHistory.none(), listener);
    return listener;
  }

  private QueueingPlacement placementWithOneCallInFlight(int servers, int slots) {
    QueueingPlacement placement = fixture.servers(servers, slots).publish().placement();
    for (int i = 0; i < 5; i++) {
      fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "first", LONG_MILLIS);
    }
    assertThat(submit(placement, "first", 10_000).grant()).isPresent();
    return placement;
  }

  @ParameterizedTest
  @ValueSource(ints = {LONG_MILLIS - 100, SHORT_MILLIS, 1})
  void aRouteWithoutAnswersIsNotRefusedByTheWorkOfOtherRoutes(int leftMillis) {
    QueueingPlacement placement = placementWithOneCallInFlight(2, SLOTS);

    assertThat(submit(placement, "added", leftMillis).grant()).isPresent();
  }

  @Test
  void aRouteWhoseAnswersTookLongerThanTheTimeLeftIsRefusedAtOnce() {
    QueueingPlacement placement = placementWithOneCallInFlight(2, SLOTS);

    assertThat(submit(placement, "first", LONG_MILLIS - 100).fault().get().detail())
        .contains(PlacementRule.DEADLINE.label());
  }

  @Test
  void aCallWithoutTimeToWaitGetsAFreeSlot() {
    QueueingPlacement placement = placementWithOneCallInFlight(2, SLOTS);

    assertThat(submit(placement, "first", LONG_MILLIS + 100).grant()).isPresent();
  }

  @Test
  void aCallWithoutTimeToWaitIsRefusedAtOnceIfAllSlotsAreBusy() {
    fixture.tune(Tunable.SERVER_QUEUE, 0);
    QueueingPlacement placement = placementWithOneCallInFlight(1, 1);

    assertThat(submit(placement, "first", LONG_MILLIS + 100).refusal()).isPresent();
  }
}
