package org.wagtailpin.membership;

import java.util.List;

/**
 * The state of membership and shares, for operators.
 *
 * @param isolation how far this entry is cut off
 * @param registered whether the store is known to hold this entry's registration
 * @param holdsGuaranteed whether it uses its part of what is split over all registered entries
 * @param holdsLeased whether it uses its part of what is split over the live entries
 * @param watchesStore whether it watches the store for others
 * @param leaving whether it has begun to leave
 * @param peers the other entries
 */
public record MembershipStatus(
    Isolation isolation,
    boolean registered,
    boolean holdsGuaranteed,
    boolean holdsLeased,
    boolean watchesStore,
    boolean leaving,
    List<PeerStatus> peers) {

  /** Copies the list. */
  public MembershipStatus {
    peers = List.copyOf(peers);
  }
}
