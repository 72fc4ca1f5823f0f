package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.wagtailpin.config.ConfigExamples.at;
import static org.wagtailpin.config.ConfigExamples.removed;
import static org.wagtailpin.config.ConfigExamples.service;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MergedConfigTest {

  private static final long SEED = 20_261_204L;
  private static final int ROUNDS = 200;

  private static MergedConfig of(VersionedObject... states) {
    MergedConfig merged = new MergedConfig();
    merged.mergeAll(List.of(states));
    return merged;
  }

  private static Map<ObjectId, Long> ticketsOf(MergedConfig merged) {
    Map<ObjectId, Long> have = new HashMap<>();
    merged.objects().forEach(object -> have.put(object.id(), object.ticket()));
    return have;
  }

  @Test
  void aLowerTicketNeverRevertsAnObject() {
    MergedConfig merged = of(at(5, service("a")));

    assertThat(
            merged.merge(at(4, new ConfigService("a", false, List.of(), service("a").probePath()))))
        .isFalse();
    assertThat(merged.live()).containsExactly(service("a"));
  }

  @Test
  void aRemovalPrevailsOverLateArrivalsOfLowerTickets() {
    MergedConfig merged = of(at(5, service("a")), removed(7, service("a").id()));

    assertThat(merged.merge(at(6, service("a")))).isFalse();
    assertThat(merged.live()).isEmpty();
  }

  @Test
  void aHigherTicketRestoresARemovedObject() {
    MergedConfig merged = of(removed(7, service("a").id()));

    assertThat(merged.merge(at(8, service("a")))).isTrue();
    assertThat(merged.live()).containsExactly(service("a"));
  }

  @Test
  void theOrderOfMergingChangesNeitherStateNorDigest() {
    Random random = new Random(SEED);
    for (int round = 0; round < ROUNDS; round++) {
      List<VersionedObject> states = randomStates(random);
      MergedConfig one = new MergedConfig();
      states.forEach(one::merge);
      Collections.shuffle(states, random);
      MergedConfig other = new MergedConfig();
      states.forEach(other::merge);
      states.forEach(other::merge);

      assertWithMessage("seed %s round %s", SEED, round)
          .that(other.objects())
          .containsExactlyElementsIn(one.objects());
      assertThat(other.digest()).isEqualTo(one.digest());
      assertThat(other.highestTicket()).isEqualTo(one.highestTicket());
    }
  }

  private static List<VersionedObject> randomStates(Random random) {
    List<VersionedObject> states = new ArrayList<>();
    for (int ticket = 1; ticket <= 30; ticket++) {
      ConfigService service = service("s" + random.nextInt(6));
      states.add(random.nextInt(3) == 0 ? removed(ticket, service.id()) : at(ticket, service));
    }
    if (random.nextBoolean()) {
      states.add(removed(1 + random.nextInt(30), MergedConfig.FLOOR_ID));
    }
    return states;
  }

  @Test
  void exchangingNewerStatesMakesReplicasEqual() {
    Random random = new Random(SEED);
    for (int round = 0; round < ROUNDS; round++) {
      MergedConfig one = new MergedConfig();
      MergedConfig other = new MergedConfig();
      for (VersionedObject state : randomStates(random)) {
        // Some states reach both replicas, some only one or none, as with message loss.
        if (random.nextInt(3) > 0) {
          one.merge(state);
        }
        if (random.nextInt(3) > 0) {
          other.merge(state);
        }
      }
      other.mergeAll(one.newerThan(ticketsOf(other)));
      one.mergeAll(other.newerThan(ticketsOf(one)));
      other.mergeAll(one.newerThan(ticketsOf(other)));

      assertWithMessage("seed %s round %s", SEED, round)
          .that(other.objects())
          .containsExactlyElementsIn(one.objects());
      assertThat(other.digest()).isEqualTo(one.digest());
    }
  }

  @Test
  void anObjectBelowTheFloorDoesNotComeBackAfterItsRemovalIsDropped() {
    MergedConfig store = of(at(3, service("a")), at(4, service("b")));
    MergedConfig isolated = of(at(3, service("a")), at(4, service("b")));
    store.merge(removed(6, service("a").id()));
    store.closeUpTo(9);

    assertThat(store.object(service("a").id())).isEmpty();
    assertThat(store.mergeAll(isolated.objects())).isFalse();
    assertThat(store.live()).containsExactly(service("b"));

    isolated.mergeAll(store.newerThan(ticketsOf(isolated)));
    assertThat(isolated.live()).containsExactly(service("b"));
    assertThat(isolated.digest()).isEqualTo(store.digest());
  }

  @Test
  void anEmptyReplicaMergesObjectsRenumberedByTheFloorInOrder() {
    MergedConfig store = of(at(3, service("a")), at(12, service("b")));
    store.closeUpTo(9);
    MergedConfig empty = new MergedConfig();

    store.newerThan(Map.of()).forEach(empty::merge);

    assertThat(empty.live()).containsExactly(service("a"), service("b"));
    assertThat(empty.digest()).isEqualTo(store.digest());
  }

  @Test
  void theFloorIsTransferredLast() {
    MergedConfig store = of(at(3, service("a")), at(12, ConfigExamples.group()));
    store.closeUpTo(9);

    List<VersionedObject> all = store.newerThan(Map.of());
    assertThat(all.get(all.size() - 1).id()).isEqualTo(MergedConfig.FLOOR_ID);
  }

  @Test
  void theFloorOnlyRises() {
    MergedConfig store = of(at(3, service("a")));
    store.closeUpTo(9);

    assertThrows(IllegalArgumentException.class, () -> store.closeUpTo(9));
    assertThat(store.merge(removed(5, MergedConfig.FLOOR_ID))).isFalse();
    assertThat(store.floor()).isEqualTo(9);
  }

  @Test
  void aSnapshotIsPublishedOnlyWhenTheStateDiffers() {
    PublishedConfig published = new PublishedConfig();
    MergedConfig merged = of(at(1, service("a")));

    assertThat(published.publish(new MergedConfig())).isFalse();
    assertThat(published.publish(merged)).isTrue();
    assertThat(published.publish(merged)).isFalse();
    assertThat(published.current().service("a")).isPresent();
    assertThat(published.current().version()).isEqualTo(1);
  }
}
