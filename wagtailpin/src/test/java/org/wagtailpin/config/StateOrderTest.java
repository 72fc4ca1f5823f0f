package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wagtailpin.store.StoreRevision;

/** States of one object from several eras of the store. */
class StateOrderTest {

  private static final ObjectId ID = new ObjectId(ConfigKind.DOCUMENT, "d");
  private static final int ROUNDS = 2_000;
  private static final int STATES = 6;

  private static VersionedObject state(long era, long revision, long version) {
    return new VersionedObject(
        ID,
        StoreRevision.of(era, revision),
        Optional.of(new ConfigDocument("d", List.of(), version)));
  }

  private static VersionedObject removal(long era, long revision) {
    return new VersionedObject(ID, StoreRevision.of(era, revision), Optional.empty());
  }

  private static MergedConfig merged(VersionedObject... states) {
    MergedConfig merged = new MergedConfig();
    for (VersionedObject each : states) {
      merged.merge(each);
    }
    return merged;
  }

  @Test
  void theHigherVersionWinsBetweenErasAndTheHigherRevisionWithinOne() {
    assertThat(merged(state(0, 9, 5), state(1, 2, 4)).highestTicket()).isEqualTo(9);
    assertThat(merged(state(1, 2, 4), state(0, 9, 5)).object(ID)).hasValue(state(0, 9, 5));
    assertThat(merged(state(0, 9, 5), state(1, 2, 6)).object(ID)).hasValue(state(1, 2, 6));
    assertThat(merged(state(0, 9, 5), state(1, 2, 5)).object(ID)).hasValue(state(0, 9, 5));
    assertThat(merged(state(1, 2, 5), state(1, 3, 4)).object(ID)).hasValue(state(1, 3, 4));
  }

  @Test
  void aStateWithoutAVersionGivesWayToTheLaterEra() {
    assertThat(merged(state(0, 9, 0), state(1, 2, 0)).object(ID)).hasValue(state(1, 2, 0));
  }

  // Guards against an object that was removed after the copy and comes back with it.
  @Test
  void aRemovedObjectComesBackOnlyByAnotherWrite() {
    MergedConfig versioned = merged(state(0, 5, 3), removal(0, 9));
    assertThat(versioned.merge(state(1, 5, 3))).isFalse();
    assertThat(versioned.merge(state(1, 6, 4))).isTrue();

    MergedConfig unversioned = merged(state(0, 5, 0), removal(0, 9));
    assertThat(unversioned.merge(state(1, 5, 0))).isFalse();
    assertThat(unversioned.merge(state(1, 6, 0))).isTrue();
  }

  @Test
  void aRemovalInALaterEraHoldsAgainstEarlierStates() {
    assertThat(merged(state(0, 5, 3), removal(1, 2)).merge(state(0, 9, 8))).isFalse();
  }

  /** Versions rise within an era here, as operators write them. */
  @Test
  void replicasThatMergeInAnyOrderHoldTheSameState() {
    Random random = new Random(1);
    for (int round = 0; round < ROUNDS; round++) {
      VersionedObject[] states = new VersionedObject[STATES];
      for (int i = 0; i < STATES; i++) {
        long revision = 1L + random.nextInt(5);
        long era = random.nextInt(3);
        states[i] = state(era, revision, 1 + (revision + era) / 2);
      }
      VersionedObject[] shuffled = states.clone();
      java.util.Collections.shuffle(java.util.Arrays.asList(shuffled), random);

      assertThat(merged(shuffled).object(ID)).isEqualTo(merged(states).object(ID));
    }
  }
}
