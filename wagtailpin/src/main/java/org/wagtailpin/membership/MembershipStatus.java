package org.wagtailpin.membership;

import java.util.List;

/**
 * State of membership and shares, for operators.
 *
 * @param isolation how far this entry is cut off
 * @param registered whether the store is known to hold this entry's registration
 * @param holdsGuaranteed whether it holds its share of the parts that are split over all registered
 *     entries
 * @param holdsLeased whether it holds its share of the parts that are split over the live entries
 * @param watchesStore whether it watches the store for its failure domain
 * @param leaving whether it is leaving the fleet
 * @param peers the other entries that it counts
 */
public record MembershipStatus(
    Isolation isolation,
    boolean registered,
    boolean holdsGuaranteed,
    boolean holdsLeased,
    boolean watchesStore,
    boolean leaving,
    List<PeerStatus> peers) {

  /** Copies the list, so that the status is immutable. */
  public MembershipStatus {
    peers = List.copyOf(peers);
  }
}
