package org.wagtailpin.membership;

/** Source of the newest view of the live entries. */
public interface MembershipSource {

  /** Returns the newest view, never null. Cheap and thread-safe. */
  MembershipView current();
}
