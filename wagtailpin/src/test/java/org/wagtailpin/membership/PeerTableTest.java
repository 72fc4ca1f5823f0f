package org.wagtailpin.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.entrypeer.LearntAddressBook;

class PeerTableTest {

  private final PeerTable table =
      new PeerTable("self", new LearntAddressBook(), MembershipSettings.defaults());

  @Test
  void entryNamedByOthersOnlyIsCountedButNotNamedOn() {
    table.noteAll(List.of("self", "hearsay"), 0);
    table.note("known", 0).setRegistered(Registered.YES);
    assertThat(table.guaranteedSet()).containsExactly("hearsay", "known", "self");
    assertThat(table.guaranteedToName()).containsExactly("known", "self");
    assertThat(table.leasedToName()).containsExactly("known", "self");
  }

  @Test
  void releaseCountsForItsIncarnationOnly() {
    table.note("other", 0).accept(5, 0);
    table.release("other", 4);
    assertThat(table.find("other")).isPresent();
    table.release("other", 5);
    assertThat(table.find("other")).isEmpty();
    assertThat(table.isReleased("other", 5)).isTrue();
    assertThat(table.isReleased("other", 6)).isFalse();
  }

  @Test
  void messageOfEarlierIncarnationDoesNotCount() {
    PeerRecord record = table.note("other", 0);
    assertThat(record.accept(5, 0)).isTrue();
    record.promised(1000, true);
    assertThat(record.accept(6, 0)).isTrue();
    assertThat(record.promisedUntilMillis()).isEqualTo(PeerRecord.NEVER);
    assertThat(record.knowsRegistration()).isFalse();
    assertThat(record.accept(5, 0)).isFalse();
  }
}
