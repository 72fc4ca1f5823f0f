package org.wagtailpin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wagtailpin.membership.Member;

/**
 * The entries of one failure domain, known by their messages or from other entries, ordered by
 * identifier. Confined to the control loop.
 */
final class DomainMembers {

  /** After how long a silence an entry no longer counts as live, in milliseconds. */
  static final long LIVE_MILLIS = 3_000;

  private static final long FORGET_MILLIS = 60_000;

  /** What is known of one entry. All times are of this entry's monotonic clock. */
  static final class Peer {
    private Member member;
    private long heardMillis;
    private boolean leaving;
    private boolean watching;
    private boolean current;

    private Peer(Member member, long heardMillis) {
      this.member = member;
      this.heardMillis = heardMillis;
    }

    Member member() {
      return member;
    }

    long heardMillis() {
      return heardMillis;
    }

    boolean leaving() {
      return leaving;
    }

    /** Returns whether it said that it watches the store. */
    boolean watching() {
      return watching;
    }

    /** Returns whether it said that its state is the store's. */
    boolean current() {
      return current;
    }

    boolean live(long nowMillis) {
      return nowMillis - heardMillis <= LIVE_MILLIS;
    }
  }

  private final Map<String, Peer> peers = new TreeMap<>();

  /** Records a message of an entry. */
  void heard(Member member, long nowMillis, boolean leaving, boolean watching, boolean current) {
    Peer peer = peers.computeIfAbsent(member.id(), id -> new Peer(member, nowMillis));
    peer.member = member;
    peer.heardMillis = nowMillis;
    peer.leaving = leaving;
    peer.watching = watching;
    peer.current = current;
  }

  /** Records that another entry received a message of an entry at a time. */
  void named(Member member, long heardMillis, boolean leaving) {
    Peer peer = peers.computeIfAbsent(member.id(), id -> new Peer(member, heardMillis));
    if (heardMillis > peer.heardMillis) {
      peer.member = member;
      peer.heardMillis = heardMillis;
      peer.leaving = leaving;
    }
  }

  /** Records that an entry does not answer, so that it does not count as live. */
  void lost(String entry, long nowMillis) {
    Optional.ofNullable(peers.get(entry))
        .filter(peer -> peer.live(nowMillis))
        .ifPresent(peer -> peer.heardMillis = nowMillis - LIVE_MILLIS - 1);
  }

  /** Records that the live entries are those that the watcher of the domain knows, too. */
  void confirmLive(long nowMillis) {
    live(nowMillis).forEach(peer -> peer.heardMillis = nowMillis);
  }

  void forgetOld(long nowMillis) {
    peers.values().removeIf(peer -> nowMillis - peer.heardMillis > FORGET_MILLIS);
  }

  Optional<Peer> find(String entry) {
    return Optional.ofNullable(peers.get(entry));
  }

  /** Returns the live entries, ordered by identifier. */
  List<Peer> live(long nowMillis) {
    List<Peer> live = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.live(nowMillis)) {
        live.add(peer);
      }
    }
    return live;
  }

  /** Returns a hash of the live entries. */
  long digest(long nowMillis) {
    long digest = 1;
    for (Peer peer : live(nowMillis)) {
      digest = 31 * digest + peer.member.hashCode() + (peer.leaving ? 1 : 0);
    }
    return digest;
  }

  /**
   * Returns how many live entries that are not leaving precede an entry in the order of succession.
   *
   * @param entry the entry
   * @param failed the entry that is to be succeeded, which does not count
   * @param nowMillis the current time
   */
  int rank(String entry, Optional<String> failed, long nowMillis) {
    return (int)
        live(nowMillis).stream()
            .filter(peer -> peer.member.id().compareTo(entry) < 0 && !peer.leaving)
            .filter(peer -> !failed.equals(Optional.of(peer.member.id())))
            .count();
  }
}
