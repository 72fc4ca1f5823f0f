package org.wagtailpin.daemon;

import org.wagtailpin.membership.FleetMembership;
import org.wagtailpin.membership.MembershipStatus;
import org.wagtailpin.operator.StatusPart;

/** Part of the status page that shows the other entries and this entry's shares. */
final class MembershipStatusPart implements StatusPart {

  private final FleetMembership membership;

  MembershipStatusPart(FleetMembership membership) {
    this.membership = membership;
  }

  @Override
  public String name() {
    return "membership";
  }

  @Override
  public MembershipStatus current() {
    return membership.status();
  }
}
