package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;
import static org.wagtailpin.config.ConfigExamples.at;
import static org.wagtailpin.config.ConfigExamples.removed;
import static org.wagtailpin.config.ConfigExamples.service;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigStateTest {

  private static final String ATTEMPT = "attempt";

  private final ConfigStateCodec codec = new ConfigStateCodec();

  private static Ticket ticket(long number, ConfigObject... objects) {
    return new Ticket(number, List.of(objects), List.of());
  }

  private static Ticket removal(long number, ObjectId... ids) {
    return new Ticket(number, List.of(), List.of(ids));
  }

  private ConfigState encodedAndDecoded(ConfigState state) {
    return ((ConfigStateReadResult.Read) codec.read(codec.write(state))).state();
  }

  @Test
  void aStateIsReadAsItWasWritten() {
    ConfigState state = ConfigState.empty();
    state.apply(new Ticket(3, ConfigExamples.all(), List.of()), ATTEMPT);
    state.apply(removal(4, service("gone").id()), ATTEMPT);
    state.merged().closeUpTo(2);

    ConfigState read = encodedAndDecoded(state);

    assertThat(read.merged().objects())
        .containsExactlyElementsIn(state.merged().objects())
        .inOrder();
    assertThat(read.merged().digest()).isEqualTo(state.merged().digest());
    assertThat(read.marks()).containsExactlyElementsIn(state.marks()).inOrder();
  }

  @Test
  void bytesThatAreNotAStateAreUnreadable() {
    assertThat(codec.read(new byte[] {1, 2, 3}))
        .isInstanceOf(ConfigStateReadResult.Unreadable.class);
    assertThat(codec.read(new byte[0])).isInstanceOf(ConfigStateReadResult.Unreadable.class);
  }

  @Test
  void marksAreBoundedAndTheirNumbersAreClosed() {
    ConfigState state = ConfigState.empty();
    state.apply(ticket(1, service("old")), ATTEMPT);
    for (int number = 2; number <= ConfigState.MAX_MARKS + 1; number++) {
      state.apply(ticket(number, service("s" + number % 7)), ATTEMPT);
    }

    long floor = state.merged().floor();
    assertThat(floor).isEqualTo(ConfigState.MAX_MARKS / 2 + 1);
    assertThat(state.marks()).hasSize(ConfigState.MAX_MARKS / 2);
    assertThat(state.mark(floor)).isEmpty();
    assertThat(state.mark(floor + 1)).isPresent();
    // An object that no later ticket changed is kept, with the floor as its ticket number.
    assertThat(state.merged().object(service("old").id()).get())
        .isEqualTo(at(floor, service("old")));
  }

  @Test
  void removalsAreBoundedAndDoNotComeBack() {
    ConfigState state = ConfigState.empty();
    List<VersionedObject> before = new ArrayList<>();
    for (int number = 1; number <= ConfigState.MAX_REMOVALS + 1; number++) {
      before.add(at(number, service("s" + number)));
    }
    int number = ConfigState.MAX_REMOVALS + 1;
    for (VersionedObject object : before) {
      state.apply(removal(++number, object.id()), ATTEMPT);
    }

    assertThat(state.merged().objects().size()).isLessThan(ConfigState.MAX_REMOVALS);
    assertThat(state.merged().mergeAll(before)).isFalse();
    assertThat(state.merged().live()).isEmpty();
  }

  @Test
  void theTicketJustAppliedStaysOpenWhenOthersAreClosed() {
    ConfigState state = ConfigState.empty();
    for (int number = 100; number < 100 + ConfigState.MAX_MARKS; number++) {
      state.apply(ticket(number, service("s")), ATTEMPT);
    }
    state.apply(ticket(50, service("late")), ATTEMPT);

    assertThat(state.mark(50)).isPresent();
    assertThat(state.merged().floor()).isLessThan(50L);
    assertThat(state.merged().live()).containsExactly(service("late"), service("s"));
  }

  @Test
  void theContentHashDependsOnContentOnly() {
    Ticket one = ticket(1, service("a"), service("b"));
    Ticket reordered = ticket(2, service("b"), service("a"));
    Ticket other = new Ticket(1, List.of(service("a")), List.of(service("b").id()));

    assertThat(reordered.contentHash()).isEqualTo(one.contentHash());
    assertThat(other.contentHash()).isNotEqualTo(one.contentHash());
    assertThat(ContentHash.parse(one.contentHash().toString())).isEqualTo(one.contentHash());
  }

  @Test
  void aReportIncludesATicketOnceAllItsObjectsAreAtLeastAsNew() {
    MergedConfig merged = new MergedConfig();
    Ticket ticket = new Ticket(5, List.of(service("a")), List.of(service("b").id()));
    merged.merge(at(5, service("a")));
    assertThat(ConfigReport.of(merged, ConfigOrigin.none()).includes(ticket)).isFalse();

    merged.merge(removed(6, service("b").id()));
    assertThat(ConfigReport.of(merged, ConfigOrigin.none()).includes(ticket)).isTrue();

    merged.closeUpTo(9);
    assertThat(merged.object(service("b").id())).isEmpty();
    assertThat(ConfigReport.of(merged, ConfigOrigin.none()).includes(ticket)).isTrue();
  }
}
