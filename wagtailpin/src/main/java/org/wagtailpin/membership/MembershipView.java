package org.wagtailpin.membership;

import java.util.List;

/**
 * The entries that this entry regards as live, including itself.
 *
 * @param version a number that rises with each change of the members, within one process
 * @param self the identifier of this entry
 * @param members the live entries with known addresses, ordered by identifier
 */
public record MembershipView(long version, String self, List<Member> members) {

  /** Copies the list, so that the view is immutable. */
  public MembershipView {
    members = List.copyOf(members);
  }
}
