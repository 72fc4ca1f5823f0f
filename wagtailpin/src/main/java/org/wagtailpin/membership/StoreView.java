package org.wagtailpin.membership;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The keys of entries, as the store held them at one time.
 *
 * @param leased the identifiers of the entries whose lease key was present
 * @param registered the records of the registered entries, by identifier
 * @param registrationRevisions the revisions of the registration keys, by entry identifier
 * @param confirmedAtMillis when the call was sent whose answer confirmed this state, in
 *     milliseconds of the monotonic clock; the store held this state at that time or later
 */
record StoreView(
    Set<String> leased,
    Map<String, Member> registered,
    Map<String, Long> registrationRevisions,
    long confirmedAtMillis) {

  StoreView {
    leased = Set.copyOf(leased);
    registered = Map.copyOf(registered);
    registrationRevisions = Map.copyOf(registrationRevisions);
  }

  Optional<Long> registrationRevision(String entry) {
    return Optional.ofNullable(registrationRevisions.get(entry));
  }
}
