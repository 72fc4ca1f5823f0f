package org.wagtailpin.membership;

import java.util.List;

/**
 * The entries that one entry holds to be live, itself among them.
 *
 * @param version a number that rises with each change of this entry's view
 * @param self the identifier of this entry
 * @param members the live entries in the order of their identifiers
 */
public record MembershipView(long version, String self, List<Member> members) {

  /** Copies the list. */
  public MembershipView {
    members = List.copyOf(members);
  }
}
