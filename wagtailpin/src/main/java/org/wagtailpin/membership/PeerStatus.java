package org.wagtailpin.membership;

import java.util.Optional;

/**
 * What this entry knows about one other entry, for operators.
 *
 * @param id the identifier of the other entry
 * @param details its address, region and failure domain; empty if not known
 * @param heardAgoMillis the time since its last message, in milliseconds; empty if there was none
 * @param counted whether the leased part of limits is split over it
 * @param storeReachable whether it reported in its last heartbeat that the store answers
 * @param config the configuration reported in its last message
 */
public record PeerStatus(
    String id,
    Optional<Member> details,
    Optional<Long> heardAgoMillis,
    boolean counted,
    boolean storeReachable,
    ConfigStamp config) {}
