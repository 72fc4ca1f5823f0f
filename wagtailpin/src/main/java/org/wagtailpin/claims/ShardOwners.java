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
 * Ranks the live entries for each shard by rendezvous hashing. Leaving entries are not ranked.
 *
 * <p>The ranking is only an optimisation: entries with different membership views may rank
 * differently, and compare-and-swap on the shard's log decides between them.
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

  /** Returns the entry that records the claims of a shard; empty if no candidate exists. */
  Optional<String> owner(int shard) {
    return entryAtRank(shard, 0);
  }

  /** Returns the entry that records claims while the owner is unreachable; empty if none. */
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
