package org.wagtailpin.backend;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.call.RecordingEventLog;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.transport.HttpDialect;

class UnmatchedAnswersTest {

  private static final int FLOOD = 1_000;
  private static final int MAX_LINES_PER_SECOND = 10;
  private static final int MAX_IDENTIFIER_LENGTH = 200;

  private final ManualClock clock = new ManualClock(1_000);
  private final RecordingEventLog events = new RecordingEventLog();
  private final UnmatchedAnswers unmatched =
      new UnmatchedAnswers(events, clock, HttpDialect.standard());

  private void record(String identifier) {
    unmatched.recordAnswer(
        UnmatchedReason.STALE,
        new UnmatchedAnswers.ConnectionHistory("s1", 2, true, "a.1", "GET", "b.1", -1),
        200,
        identifier);
  }

  private List<Event> lines() {
    return events.of(EventKind.ANSWER_UNMATCHED);
  }

  @Test
  void aFloodOfAnswersIsCountedWholeAndLoggedInPart() {
    for (int i = 0; i < FLOOD; i++) {
      record("c.1");
    }
    assertThat(lines()).hasSize(MAX_LINES_PER_SECOND);

    clock.advance(1_000);
    record("c.1");

    assertThat(unmatched.count(UnmatchedReason.STALE)).isEqualTo(FLOOD + 1);
    assertThat(lines().get(MAX_LINES_PER_SECOND).value("omitted"))
        .isEqualTo(Optional.of((long) FLOOD - MAX_LINES_PER_SECOND));
  }

  @Test
  void aLongIdentifierIsShortened() {
    record("c".repeat(10_000));

    assertThat(lines().get(0).value("received").map(Object::toString).orElse("").length())
        .isEqualTo(MAX_IDENTIFIER_LENGTH);
  }
}
