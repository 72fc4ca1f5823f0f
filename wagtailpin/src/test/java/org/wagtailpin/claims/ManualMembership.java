package org.wagtailpin.claims;

import java.util.Collection;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.MembershipSource;
import org.wagtailpin.membership.MembershipView;

/** Membership view of one entry that a test sets directly. */
final class ManualMembership implements MembershipSource {

  private final String self;
  private MembershipView view;

  ManualMembership(String self, Collection<String> live) {
    this.self = self;
    this.view = new MembershipView(0, self, java.util.List.of());
    set(live);
  }

  void set(Collection<String> live) {
    view =
        new MembershipView(
            view.version() + 1,
            self,
            live.stream()
                .sorted()
                .map(id -> new Member(id, 1, "127.0.0.1", 1, "tunis", "tunis-a", false))
                .toList());
  }

  @Override
  public MembershipView current() {
    return view;
  }
}
