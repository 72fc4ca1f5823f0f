package org.wagtailpin.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.call.RecordingEventLog;
import org.wagtailpin.eventlog.EventKind;

class PeerEventRecorderTest {

  private final RecordingEventLog events = new RecordingEventLog();
  private final PeerEventRecorder recorder = new PeerEventRecorder(events, 3_000);

  private static PeerStatus peer(long heardAgoMillis) {
    return new PeerStatus(
        "e2", Optional.empty(), Optional.of(heardAgoMillis), true, true, new ConfigStamp(0, 0));
  }

  @Test
  void recordsEntryAsSeenSuspectedAndSeenAgain() {
    recorder.update(List.of(peer(10)));
    recorder.update(List.of(peer(20)));
    recorder.update(List.of(peer(4_000)));
    recorder.update(List.of(peer(5)));

    assertThat(events.of(EventKind.PEER_SEEN)).hasSize(2);
    assertThat(events.of(EventKind.PEER_SUSPECTED)).hasSize(1);
    assertThat(events.of(EventKind.PEER_SUSPECTED).get(0).value("silentMillis"))
        .isEqualTo(Optional.of(4_000L));
  }

  @Test
  void recordsEntryThatIsNoLongerCountedAsGoneOnce() {
    recorder.update(List.of(peer(10)));
    recorder.update(List.of());
    recorder.update(List.of());

    assertThat(events.of(EventKind.PEER_GONE)).hasSize(1);
  }
}
