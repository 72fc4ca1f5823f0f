package org.wagtailpin.membership;

import java.util.Optional;

/**
 * What this entry knows of another one, for operators.
 *
 * @param id the other entry
 * @param details its address and place, if known
 * @param heardAgoMillis how long ago it was heard, in milliseconds, empty if never
 * @param counted whether it has a part in the leased shares
 * @param storeReachable whether the store answered it when it was last heard
 * @param config the configuration that it had when it was last heard
 */
public record PeerStatus(
    String id,
    Optional<Member> details,
    Optional<Long> heardAgoMillis,
    boolean counted,
    boolean storeReachable,
    ConfigStamp config) {}
