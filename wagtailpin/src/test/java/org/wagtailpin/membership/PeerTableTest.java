package org.wagtailpin.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.entrypeer.MutableAddressBook;

class PeerTableTest {

  private final PeerTable table =
      new PeerTable("self", new MutableAddressBook(), MembershipSettings.defaults());

  @Test
  void entryOnlyNamedByOthersIsCountedButNotAdvertised() {
    table.addNamed(List.of("self", "hearsay"), 0);
    table.getOrAdd("known", 0).setRegistered(RegistrationState.REGISTERED);
    assertThat(table.guaranteedSet()).containsExactly("hearsay", "known", "self");
    assertThat(table.guaranteedSetToAdvertise()).containsExactly("known", "self");
    assertThat(table.leasedSetToAdvertise()).containsExactly("known", "self");
  }

  @Test
  void releaseAppliesToItsIncarnationOnly() {
    table.getOrAdd("other", 0).acceptIncarnation(5, 0);
    table.markReleased("other", 4);
    assertThat(table.find("other")).isPresent();
    table.markReleased("other", 5);
    assertThat(table.find("other")).isEmpty();
    assertThat(table.isReleased("other", 5)).isTrue();
    assertThat(table.isReleased("other", 6)).isFalse();
  }

  @Test
  void messageOfEarlierIncarnationIsRejected() {
    PeerRecord record = table.getOrAdd("other", 0);
    assertThat(record.acceptIncarnation(5, 0)).isTrue();
    record.recordPromise(1000, true);
    assertThat(record.acceptIncarnation(6, 0)).isTrue();
    assertThat(record.promisedUntilMillis()).isEqualTo(PeerRecord.NEVER);
    assertThat(record.countsThisEntryAsRegistered()).isFalse();
    assertThat(record.acceptIncarnation(5, 0)).isFalse();
  }
}
