package org.wagtailpin.membership;

/** Gives the newest view of the live entries. */
public interface MembershipSource {

  /** Returns the newest view; cheap, safe for all threads and never null. */
  MembershipView current();
}
