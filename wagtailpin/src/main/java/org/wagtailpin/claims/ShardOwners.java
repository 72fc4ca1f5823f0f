package org.wagtailpin.claims;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.MembershipSource;
import org.wagtailpin.membership.MembershipView;

/**
 * Ranks the live entries for each shard by rendezvous hashing.
 *
 * <p>Only an optimisation: entries whose views differ may rank differently, and the log of the
 * shard decides between them.
 */
final class ShardOwners {

  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private final MembershipSource membership;

  ShardOwners(MembershipSource membership) {
    this.membership = membership;
  }

  MembershipView view() {
    return membership.current();
  }

  /** Returns the entry that records the claims of a shard. */
  Optional<String> owner(int shard) {
    return entryAtRank(shard, 0);
  }

  /** Returns the entry that stands in while the owner cannot be reached. */
  Optional<String> backupOwner(int shard) {
    return entryAtRank(shard, 1);
  }

  private Optional<String> entryAtRank(int shard, int rank) {
    List<String> candidates = new ArrayList<>();
    for (Member member : membership.current().members()) {
      if (!member.leaving()) {
        candidates.add(member.id());
      }
    }
    if (rank >= candidates.size()) {
      return Optional.empty();
    }
    candidates.sort(
        Comparator.comparingLong((String id) -> weight(id, shard))
            .thenComparing(Comparator.naturalOrder()));
    return Optional.of(candidates.get(rank));
  }

  private static long weight(String entry, int shard) {
    return HASHER.hashStream().putString(entry).putInt(shard).getAsLong();
  }
}
