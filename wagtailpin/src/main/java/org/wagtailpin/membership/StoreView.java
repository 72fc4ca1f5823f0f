package org.wagtailpin.membership;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The keys about entries, as the store held them at a moment.
 *
 * @param leased the entries whose leased key was there
 * @param registered the records of the registered entries
 * @param registrationRevisions the revisions of the registrations
 * @param confirmedAtMillis a moment before which none of this can have been true only in the past:
 *     when the call was sent that the store answered last, by the monotonic clock in milliseconds
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
