package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.PriorityQueues;

/** Plays crests of calls of different priorities, and checks what their callers get. */
class PriorityTest {

  private static final int URGENT = 0;
  private static final int PLAIN = 2;
  private static final int WORK_MILLIS = 10;
  private static final int SLOTS = 2;
  private static final long LONG_MILLIS = 100_000;

  private final PlacementFixture fixture = new PlacementFixture();
  private QueueingPlacement placement;

  /** A caller whose call is queued, running or decided. */
  private record Caller(int priority, long arrivedMillis, RecordingListener listener) {}

  private final List<Caller> waiting = new ArrayList<>();
  private final List<Caller> running = new ArrayList<>();
  private final Map<Integer, List<Long>> waitsByPriority = new HashMap<>();

  @BeforeEach
  void start() {
    fixture
        .servers(1, SLOTS)
        .tune(Tunable.SERVER_QUEUE, 0)
        .tune(Tunable.MAX_QUEUE_MILLIS, 400)
        .publish();
    for (int priority : new int[] {URGENT, PLAIN}) {
      for (int i = 0; i < 20; i++) {
        fixture.statistics.recordServiceTime(PlacementFixture.SERVICE, "p" + priority, WORK_MILLIS);
      }
      waitsByPriority.put(priority, new ArrayList<>());
    }
    placement = fixture.placement();
  }

  private Caller arrive(int priority) {
    RecordingListener listener = new RecordingListener();
    placement.request(fixture.call(priority, LONG_MILLIS), AttemptHistory.none(), listener);
    Caller caller = new Caller(priority, fixture.clock.millis(), listener);
    waiting.add(caller);
    return caller;
  }

  /** Ends all running calls, and records which calls run next. */
  private void step() {
    List<Caller> ended = List.copyOf(running);
    running.clear();
    fixture.loop.advance(WORK_MILLIS);
    ended.forEach(
        caller ->
            caller
                .listener()
                .grant()
                .orElseThrow()
                .finished(PlacementFixture.answered(WORK_MILLIS)));
    collectGranted();
  }

  private void collectGranted() {
    for (Caller caller : List.copyOf(waiting)) {
      if (caller.listener().grant().isPresent()) {
        waiting.remove(caller);
        running.add(caller);
        waitsByPriority.get(caller.priority()).add(fixture.clock.millis() - caller.arrivedMillis());
      }
    }
  }

  private static long longest(List<Long> waits) {
    return waits.stream().mapToLong(Long::longValue).max().orElse(0);
  }

  @Test
  void atACrestUrgentCallsWaitForTheirOwnKindOnly() {
    for (int i = 0; i < 30; i++) {
      arrive(PLAIN);
    }
    collectGranted();
    for (int i = 0; i < 40; i++) {
      arrive(i % 4 == 0 ? URGENT : PLAIN);
      step();
    }

    assertThat(longest(waitsByPriority.get(URGENT))).isAtMost(3 * WORK_MILLIS);
    assertThat(waitsByPriority.get(URGENT)).hasSize(10);
  }

  @Test
  void plainCallsGetTheirShareWhileUrgentOnesNeverEnd() {
    for (int i = 0; i < 20; i++) {
      arrive(PLAIN);
    }
    collectGranted();
    int plainBefore = waitsByPriority.get(PLAIN).size();
    for (int i = 0; i < 30; i++) {
      for (int j = 0; j < SLOTS; j++) {
        arrive(URGENT);
      }
      step();
    }

    int grants = 30 * SLOTS;
    assertThat(waitsByPriority.get(PLAIN).size() - plainBefore)
        .isAtLeast(grants / (PriorityQueues.MAX_PASSED_OVER + 1) - 1);
  }

  @Test
  void anUrgentCallIsAdmittedWhereAPlainOneIsRefused() {
    int refused = 0;
    for (int i = 0; i < 200; i++) {
      refused += arrive(PLAIN).listener().refusal().isPresent() ? 1 : 0;
    }

    assertThat(refused).isGreaterThan(0);
    assertThat(arrive(PLAIN).listener().refusal()).isPresent();
    assertThat(arrive(URGENT).listener().refusal()).isEmpty();
  }

  @Test
  void callersThatAreRefusedTogetherDoNotComeBackTogetherAndFindRoom() {
    for (int i = 0; i < 200; i++) {
      arrive(PLAIN);
    }
    List<Long> returns = new ArrayList<>();
    for (Caller caller : waiting) {
      caller.listener().refusal().ifPresent(refusal -> returns.add(refusal.retryAfterMillis()));
    }
    collectGranted();
    waiting.removeIf(caller -> caller.listener().refusal().isPresent());

    assertThat(returns.stream().distinct().count()).isGreaterThan(returns.size() / 4L);
    long start = fixture.clock.millis();
    long latest = longest(returns);
    int served = 0;
    for (long now = start; now <= start + latest; now += WORK_MILLIS) {
      for (long back : returns) {
        long due = start + back;
        if (due > now - WORK_MILLIS && due <= now) {
          served += arrive(PLAIN).listener().refusal().isEmpty() ? 1 : 0;
        }
      }
      step();
    }
    assertWithMessage("of %s callers", returns.size()).that(served).isAtLeast(returns.size() / 2);
  }
}
