package org.wagtailpin.eventlog;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;

class BoundedEventLogTest {

  private static final int UNLIMITED = 1_000_000;

  private final ManualClock clock = new ManualClock(7);
  private final List<String> lines = new CopyOnWriteArrayList<>();

  private BoundedEventLog log(int maxQueuedLines, int perSecond, int failuresPerSecond) {
    EventLogSettings settings =
        new EventLogSettings(maxQueuedLines, perSecond, failuresPerSecond, 0);
    return new BoundedEventLog("e1", settings, clock, lines::add);
  }

  private static Event attempt(String request) {
    return Event.of(EventKind.ATTEMPT, request)
        .with("server", "s1")
        .with("attempt", 1)
        .with("latencyMillis", 1.5)
        .with("detail", "reset \"by peer\"");
  }

  @Test
  void anEventBecomesOneJsonLine() {
    try (BoundedEventLog log = log(10, UNLIMITED, UNLIMITED)) {
      log.recordEvent(attempt("r1"));
    }

    assertThat(lines)
        .containsExactly(
            "{\"time\":7,\"event\":\"attempt\",\"entry\":\"e1\",\"request\":\"r1\","
                + "\"server\":\"s1\",\"attempt\":1,\"latencyMillis\":1.5,"
                + "\"detail\":\"reset \\\"by peer\\\"\"}");
  }

  // Guards against a line of a megabyte for a registration with a field of that length.
  @Test
  void aLongTextIsCutOff() {
    String longText = "x".repeat(1_000_000);
    try (BoundedEventLog log = log(10, UNLIMITED, UNLIMITED)) {
      log.recordEvent(
          Event.of(EventKind.SERVER_REFUSED).with("server", "s1").with("detail", longText));
      log.recordEvent(attempt(longText));
    }

    assertThat(lines).hasSize(2);
    for (String line : lines) {
      assertThat(line.length()).isLessThan(5_000);
      assertThat(line).contains("\"server\":\"s1\"");
      assertThat(line).endsWith("\"}");
    }
  }

  @Test
  void theEventsOfARequestAreWrittenWhenItEnds() {
    try (BoundedEventLog log = log(10, 0, UNLIMITED)) {
      log.begin("good");
      log.begin("bad");
      log.recordEvent(attempt("good"));
      log.recordEvent(attempt("bad"));
      log.end("good", false);
      log.end("bad", true);
    }

    assertThat(lines).hasSize(1);
    assertThat(lines.get(0)).contains("\"request\":\"bad\"");
  }

  /**
   * Records requests while the output of the log is blocked, and returns all lines that are written
   * after it is released.
   */
  private List<String> flood(int maxQueuedLines, int successes, int failures) throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    EventLogSettings settings = new EventLogSettings(maxQueuedLines, UNLIMITED, UNLIMITED, 0);
    List<String> written = new CopyOnWriteArrayList<>();
    BoundedEventLog log =
        new BoundedEventLog(
            "e1",
            settings,
            clock,
            line -> {
              blocked.countDown();
              await(released);
              written.add(line);
            });
    log.recordEvent(Event.of(EventKind.STORE_LOST).with("detail", "first"));
    blocked.await();
    for (int i = 0; i < successes; i++) {
      log.begin("good" + i);
      log.recordEvent(attempt("good" + i));
      log.end("good" + i, false);
    }
    for (int i = 0; i < failures; i++) {
      log.begin("bad" + i);
      log.recordEvent(attempt("bad" + i));
      log.end("bad" + i, true);
    }
    released.countDown();
    log.close();
    return written;
  }

  @Test
  void failuresAreWrittenFirstAndAFloodOfSuccessesDropsNoneOfThem() throws Exception {
    List<String> written = flood(20, 500, 10);

    assertThat(written.get(0)).contains("store-lost");
    for (int i = 0; i < 10; i++) {
      assertThat(written.get(1 + i)).contains("\"request\":\"bad" + i + "\"");
    }
    assertThat(written.stream().filter(line -> line.contains("good")).count()).isEqualTo(20);
  }

  @Test
  void droppedLinesAreCountedAndReportedInTheLog() throws Exception {
    List<String> written = flood(20, 25, 30);

    String last = written.get(written.size() - 1);
    assertThat(last).contains("\"event\":\"lines-dropped\"");
    assertThat(last).contains("\"dropped\":15");
  }

  private static Set<String> kept(int perSecond, int requests) {
    RequestSampler sampler = new RequestSampler(perSecond);
    Set<String> kept = new TreeSet<>();
    for (int second = 0; second < 3; second++) {
      for (int i = 0; i < requests; i++) {
        String id = "r" + i;
        if (sampler.shouldSample(id, 3, second * 1_000L + i * 1_000L / requests) && second == 2) {
          kept.add(id);
        }
      }
    }
    return kept;
  }

  @Test
  void twoEntriesUnderTheSameLoadKeepTheSameRequests() {
    assertThat(kept(100, 1_000)).isEqualTo(kept(100, 1_000));
    assertThat(kept(100, 1_000).size()).isAtMost(100);
    assertThat(kept(100, 1_000)).isNotEmpty();
  }

  @Test
  void aSmallerSampleIsPartOfALargerOne() {
    assertThat(kept(1_000, 1_000)).containsAtLeastElementsIn(kept(100, 1_000));
  }

  @Test
  void theSampleGrowsAgainWhenTheLoadDrops() {
    RequestSampler sampler = new RequestSampler(10);
    for (int i = 0; i < 10_000; i++) {
      sampler.shouldSample("r" + i, 1, 0);
    }
    int keptLater = 0;
    for (int second = 1; second <= 20; second++) {
      keptLater += sampler.shouldSample("late" + second, 1, second * 1_000L) ? 1 : 0;
    }

    assertThat(keptLater).isAtLeast(18);
  }

  @Test
  void anEventRejectsFieldsThatItsKindDoesNotHave() {
    List<EventKind> acceptingKinds = new ArrayList<>();
    for (EventKind kind : EventKind.values()) {
      try {
        Event.of(kind).with("no-such-field", 1);
        acceptingKinds.add(kind);
      } catch (IllegalArgumentException e) {
        assertThat(e).hasMessageThat().contains(kind.label());
      }
    }

    assertThat(acceptingKinds).isEmpty();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
