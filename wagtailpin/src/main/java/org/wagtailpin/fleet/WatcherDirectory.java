package org.wagtailpin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.wagtailpin.entrypeer.generated.WatcherRecord;
import org.wagtailpin.membership.EntryKeys;
import org.wagtailpin.membership.Member;

/**
 * The watcher of each failure domain, and how many live entries that domain has, as stated by
 * watchers to one another. Of two statements on a domain the one that was made later counts.
 * Confined to the control loop.
 */
final class WatcherDirectory {

  private static final long FORGET_MILLIS = 40_000;

  /**
   * The watcher of a domain.
   *
   * @param member the watcher
   * @param domainSize the number of live entries in its domain, itself included
   * @param heardMillis when it last said so, by this entry's monotonic clock
   */
  record Watcher(Member member, int domainSize, long heardMillis) {}

  private final Set<String> domains;
  private final Map<String, Watcher> watchers = new TreeMap<>();

  /**
   * Creates an empty directory.
   *
   * @param domains the names of all failure domains
   */
  WatcherDirectory(Set<String> domains) {
    this.domains = Set.copyOf(domains);
  }

  void heard(Member member, int domainSize, long heardMillis) {
    Watcher known = watchers.get(member.failureDomain());
    if (known == null || heardMillis > known.heardMillis()) {
      watchers.put(member.failureDomain(), new Watcher(member, domainSize, heardMillis));
    }
  }

  void merge(List<WatcherRecord> records, long nowMillis) {
    for (WatcherRecord record : records) {
      heard(
          EntryKeys.toMember(record.getRecord()),
          record.getDomainSize(),
          nowMillis - record.getHeardAgoMillis());
    }
  }

  /** Records that all statements still hold, since the watcher of the own domain holds them too. */
  void confirmAll(long nowMillis) {
    watchers.replaceAll(
        (domain, known) -> new Watcher(known.member(), known.domainSize(), nowMillis));
  }

  void remove(String entry) {
    watchers.values().removeIf(known -> known.member().id().equals(entry));
  }

  void forgetOld(long nowMillis) {
    watchers.values().removeIf(known -> nowMillis - known.heardMillis() > FORGET_MILLIS);
  }

  Optional<Watcher> of(String domain) {
    return Optional.ofNullable(watchers.get(domain));
  }

  /** Returns the watcher of the domain that follows a domain by name, if another one is known. */
  Optional<Watcher> successorOf(String domain) {
    List<Watcher> others = notOf(domain);
    return others.stream()
        .filter(watcher -> watcher.member().failureDomain().compareTo(domain) > 0)
        .findFirst()
        .or(() -> others.stream().findFirst());
  }

  /** Returns the watchers of all domains but one, ordered by domain. */
  List<Watcher> notOf(String domain) {
    return watchers.values().stream()
        .filter(watcher -> !watcher.member().failureDomain().equals(domain))
        .toList();
  }

  List<WatcherRecord> toRecords(long nowMillis) {
    List<WatcherRecord> records = new ArrayList<>();
    for (Watcher watcher : watchers.values()) {
      records.add(
          WatcherRecord.newBuilder()
              .setRecord(EntryKeys.toRecord(watcher.member()))
              .setDomainSize(watcher.domainSize())
              .setHeardAgoMillis(Math.max(0, nowMillis - watcher.heardMillis()))
              .build());
    }
    return records;
  }

  /** Returns a hash of the watchers and the sizes of their domains. */
  long digest() {
    long digest = 1;
    for (Watcher watcher : watchers.values()) {
      digest = 31 * digest + watcher.member().hashCode();
      digest = 31 * digest + watcher.domainSize();
    }
    return digest;
  }

  /**
   * Returns the number of live entries in the fleet. A domain of which nothing is known is taken to
   * be as large as the largest that is known.
   *
   * @param ownDomain the own domain
   * @param ownSize the number of live entries in the own domain
   */
  int fleetSize(String ownDomain, int ownSize) {
    int size = ownSize;
    int largest = ownSize;
    int unknown = 0;
    for (Watcher watcher : watchers.values()) {
      largest = Math.max(largest, watcher.domainSize());
    }
    for (String domain : domains) {
      if (domain.equals(ownDomain)) {
        continue;
      }
      Watcher watcher = watchers.get(domain);
      size += watcher == null ? 0 : watcher.domainSize();
      unknown += watcher == null ? 1 : 0;
    }
    return size + unknown * largest;
  }
}
