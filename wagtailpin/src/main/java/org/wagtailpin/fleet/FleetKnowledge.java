package org.wagtailpin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtailpin.config.IpAddressSyntax;
import org.wagtailpin.entrypeer.MutableAddressBook;
import org.wagtailpin.entrypeer.generated.DomainMember;
import org.wagtailpin.entrypeer.generated.DomainState;
import org.wagtailpin.entrypeer.generated.WatcherRecord;
import org.wagtailpin.membership.EntryKeys;
import org.wagtailpin.membership.Member;

/**
 * What an entry has received about the other entries: the members of failure domains, and the
 * watcher of each. Confined to the control loop.
 */
final class FleetKnowledge {

  private final Member self;
  private final MutableAddressBook addresses;
  private final WatcherDirectory directory;
  private final Map<String, DomainMembers> membersByDomain = new HashMap<>();
  private final Map<String, Member> addressed = new HashMap<>();
  private final Set<String> namedRivals = new HashSet<>();

  FleetKnowledge(Member self, Set<String> domains, MutableAddressBook addresses) {
    this.self = self;
    this.addresses = addresses;
    this.directory = new WatcherDirectory(domains);
  }

  WatcherDirectory directory() {
    return directory;
  }

  DomainMembers members(String domain) {
    return membersByDomain.computeIfAbsent(domain, name -> new DomainMembers());
  }

  /** Returns the members of this entry's failure domain, this entry included. */
  DomainMembers ownMembers() {
    return members(self.failureDomain());
  }

  boolean isOwn(Member member) {
    return member.failureDomain().equals(self.failureDomain());
  }

  /** Returns the identifiers of the watchers of the other domains, as far as known. */
  List<String> otherWatchers() {
    return directory.notOf(self.failureDomain()).stream()
        .map(watcher -> watcher.member().id())
        .toList();
  }

  /** Returns the identifier of the watcher of the next domain by name, if another is known. */
  Optional<String> nextWatcher() {
    return directory.successorOf(self.failureDomain()).map(watcher -> watcher.member().id());
  }

  /** Returns the number of live entries in the own domain. */
  int ownSize(long now) {
    return Math.max(1, ownMembers().live(now).size());
  }

  /** Returns the identifiers of the other live entries of the own domain. */
  List<String> liveOthers(long now) {
    return ownMembers().live(now).stream()
        .map(peer -> peer.member().id())
        .filter(id -> !id.equals(self.id()))
        .toList();
  }

  /** Returns the other entries of the own domain that were said to watch since the last call. */
  Set<String> takeRivals(long now) {
    Set<String> rivals = new HashSet<>(namedRivals);
    namedRivals.clear();
    for (DomainMembers.Peer peer : ownMembers().live(now)) {
      if (peer.watching() && !peer.member().id().equals(self.id())) {
        rivals.add(peer.member().id());
      }
    }
    return rivals;
  }

  void recordSelf(long now, boolean leaving, boolean watching, boolean current) {
    ownMembers().heard(self, now, leaving, watching, current);
    if (watching) {
      directory.heard(self, ownSize(now), now);
    }
  }

  /** Records what an entry states of itself, and returns its description. */
  Member learn(DomainState state, long now) {
    Member member = EntryKeys.toMember(state.getSelf());
    recordAddress(member);
    members(member.failureDomain())
        .heard(member, now, state.getLeaving(), state.getWatching(), state.getCurrent());
    if (state.getWatching()) {
      directory.heard(member, state.getDomainSize(), now);
    }
    return member;
  }

  /** Records members that another entry has received messages from. */
  void mergeMembers(List<DomainMember> members, long now) {
    for (DomainMember named : members) {
      Member member = EntryKeys.toMember(named.getRecord());
      if (!member.id().equals(self.id())) {
        recordAddress(member);
        members(member.failureDomain())
            .named(member, now - named.getHeardAgoMillis(), named.getLeaving());
      }
    }
  }

  /** Records watchers that another entry has received messages from. */
  void mergeWatchers(List<WatcherRecord> records, long now) {
    directory.merge(records, now);
    for (WatcherRecord record : records) {
      Member member = EntryKeys.toMember(record.getRecord());
      recordAddress(member);
      boolean recent = record.getHeardAgoMillis() <= DomainMembers.LIVE_MILLIS;
      if (recent && isOwn(member) && !member.id().equals(self.id())) {
        namedRivals.add(member.id());
      }
    }
  }

  /** Returns the live entries of the own domain that said they watch, but for one, as messages. */
  List<WatcherRecord> otherOwnWatchers(String entry, long now) {
    List<WatcherRecord> others = new ArrayList<>();
    for (DomainMembers.Peer peer : ownMembers().live(now)) {
      if (peer.watching() && !peer.member().id().equals(entry)) {
        others.add(
            WatcherRecord.newBuilder()
                .setRecord(EntryKeys.toRecord(peer.member()))
                .setDomainSize(ownSize(now))
                .setHeardAgoMillis(Math.max(0, now - peer.heardMillis()))
                .build());
      }
    }
    return others;
  }

  private void recordAddress(Member member) {
    // A host name would be resolved, which blocks the control loop.
    if (!member.equals(addressed.put(member.id(), member))
        && IpAddressSyntax.isIpAddress(member.address())) {
      addresses.setAddress(member.id(), member.address(), member.peerPort());
    }
  }

  /**
   * Returns the live members of a domain as messages, none if their hash is the given one.
   *
   * @param domain the failure domain
   * @param digest the hash of the members that the receiver has
   * @param now the current time
   */
  List<DomainMember> membersUnless(String domain, long digest, long now) {
    DomainMembers members = members(domain);
    List<DomainMember> messages = new ArrayList<>();
    if (members.digest(now) == digest) {
      return messages;
    }
    for (DomainMembers.Peer peer : members.live(now)) {
      messages.add(
          DomainMember.newBuilder()
              .setRecord(EntryKeys.toRecord(peer.member()))
              .setHeardAgoMillis(Math.max(0, now - peer.heardMillis()))
              .setLeaving(peer.leaving())
              .build());
    }
    return messages;
  }

  void forgetOld(long now) {
    membersByDomain.values().forEach(members -> members.forgetOld(now));
    directory.forgetOld(now);
  }

  /** Returns the number of live entries in the fleet, as far as known. */
  int fleetSize(long now) {
    return directory.fleetSize(self.failureDomain(), ownSize(now));
  }
}
