package org.wagtailpin.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class StopTimesTest {

  private static final String SETTINGS =
      "{\"id\": \"e1\", \"region\": \"r\", \"failureDomain\": \"d\","
          + " \"callers\": \"127.0.0.1:1\", \"admin\": \"127.0.0.1:2\","
          + " \"peers\": \"127.0.0.1:3\", \"store\": \"http://127.0.0.1:4\"";

  private static SettingsReadResult read(String more) {
    String text = SETTINGS + more + "}";
    return new SettingsReader().read("entry.json", text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void allTimesTogetherEndBeforeTheProcessWouldBeKilled() {
    for (long stopMillis : new long[] {1_000, 3_000, 6_000, 10_000, 60_000}) {
      StopTimes times = StopTimes.within(stopMillis);

      assertThat(times.noticeMillis()).isGreaterThan(0L);
      assertThat(times.graceMillis()).isGreaterThan(0L);
      assertThat(times.noticeMillis() + times.graceMillis()).isLessThan(stopMillis);
    }
  }

  @Test
  void timeBeyondTheNoticeGoesToCallsInFlight() {
    assertThat(StopTimes.within(10_000).noticeMillis())
        .isEqualTo(StopTimes.within(6_000).noticeMillis());
    assertThat(StopTimes.within(10_000).graceMillis())
        .isEqualTo(StopTimes.within(6_000).graceMillis() + 4_000);
  }

  @Test
  void theTimeToStopWithinIsReadFromTheSettings() {
    SettingsReadResult result = read(", \"stopWithinSeconds\": 10");

    EntrySettings settings = ((SettingsReadResult.Read) result).settings();
    assertThat(settings.graceMillis()).isEqualTo(StopTimes.within(10_000).graceMillis());
  }

  @Test
  void theTimeToStopWithinExcludesTheSeparateTimes() {
    assertThat(read(", \"stopWithinSeconds\": 10, \"graceMillis\": 3000"))
        .isInstanceOf(SettingsReadResult.Malformed.class);
    assertThat(read(", \"stopWithinSeconds\": 0.1"))
        .isInstanceOf(SettingsReadResult.Malformed.class);
  }
}
