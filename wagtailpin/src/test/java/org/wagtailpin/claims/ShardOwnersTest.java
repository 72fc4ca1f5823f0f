package org.wagtailpin.claims;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ShardOwnersTest {

  private static final List<String> LIVE = List.of("e1", "e2", "e3", "e4");
  private static final int SHARDS = 64;

  private final ManualMembership membership = new ManualMembership("e1", LIVE);
  private final ShardOwners owners = new ShardOwners(membership);

  @Test
  void onlyTheShardsOfARemovedEntryMoveAndTheyMoveToTheirBackupOwner() {
    List<String> before = allOwners();
    List<String> backupOwners = allBackupOwners();
    membership.set(List.of("e1", "e2", "e4"));
    List<String> after = allOwners();

    assertThat(before).containsAtLeastElementsIn(LIVE);
    for (int shard = 0; shard < SHARDS; shard++) {
      String expected =
          before.get(shard).equals("e3") ? backupOwners.get(shard) : before.get(shard);
      assertThat(after.get(shard)).isEqualTo(expected);
    }
  }

  private List<String> allOwners() {
    return IntStream.range(0, SHARDS).mapToObj(shard -> owners.owner(shard).orElseThrow()).toList();
  }

  private List<String> allBackupOwners() {
    return IntStream.range(0, SHARDS)
        .mapToObj(shard -> owners.backupOwner(shard).orElseThrow())
        .toList();
  }
}
