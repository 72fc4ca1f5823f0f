package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays an entry from its start, whose first answers differ from those that follow. */
class FirstAnswersTest {

  private static final int SERVERS = 4;
  private static final int SLOTS = 2;
  private static final int ORDINARY_MILLIS = 200;
  private static final int STEP_MILLIS = 100;
  private static final LoadReport OTHERS_USE_HALF = new LoadReport(1, 0, false, 1);

  private final PlacementFixture fixture = new PlacementFixture().servers(SERVERS, SLOTS);

  /** An ordinary call that is waiting or running. */
  private record Running(RecordingListener listener, long endsMillis) {}

  private RecordingListener request(QueueingPlacement placement, String route) {
    RecordingListener listener = new RecordingListener();
    placement.request(
        fixture.call(route, "group", 0, false, 5_000), AttemptHistory.none(), listener);
    return listener;
  }

  /** Runs one ordinary call each step, and returns how many were refused. */
  private long refusedOfOrdinaryCalls(QueueingPlacement placement, int calls) {
    List<RecordingListener> all = new ArrayList<>();
    Deque<Running> running = new ArrayDeque<>();
    List<RecordingListener> waiting = new ArrayList<>();
    for (int i = 0; i < calls; i++) {
      RecordingListener next = request(placement, "ordinary");
      all.add(next);
      waiting.add(next);
      fixture.loop.advance(STEP_MILLIS);
      for (RecordingListener listener : List.copyOf(waiting)) {
        if (!listener.undecided()) {
          waiting.remove(listener);
          running.add(new Running(listener, fixture.clock.millis() + ORDINARY_MILLIS));
        }
      }
      while (!running.isEmpty() && running.peek().endsMillis() <= fixture.clock.millis()) {
        answer(running.remove().listener().grant(), ORDINARY_MILLIS);
      }
    }
    return all.stream().filter(listener -> listener.refusal().isPresent()).count();
  }

  private static void answer(Optional<Grant> grant, int millis) {
    grant.ifPresent(
        granted -> granted.finished(PlacementFixture.answered(millis, OTHERS_USE_HALF)));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3})
  void callersOfOrdinaryWorkAreNotRefusedAfterFirstAnswersOfLittleWork(int firstAnswers) {
    QueueingPlacement placement = fixture.publish().placement();
    for (int i = 0; i < firstAnswers; i++) {
      answer(request(placement, "little").grant(), 4);
    }

    assertThat(refusedOfOrdinaryCalls(placement, 60)).isEqualTo(0);
  }

  @Test
  void callsAreNotRefusedByTheDeadlineAfterAFirstAnswerOfAStraggler() {
    QueueingPlacement placement = fixture.publish().placement();
    answer(request(placement, "ordinary").grant(), 20 * ORDINARY_MILLIS);
    for (int i = 0; i < 4; i++) {
      answer(request(placement, "ordinary").grant(), ORDINARY_MILLIS);
    }

    assertThat(fixture.statistics.expectedMillis(PlacementFixture.SERVICE, "ordinary"))
        .isAtMost(2.0 * ORDINARY_MILLIS);
  }
}
