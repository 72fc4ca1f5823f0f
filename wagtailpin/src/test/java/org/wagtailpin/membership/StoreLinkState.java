package org.wagtailpin.membership;

/** The state of one entry's way to the store. */
enum StoreLinkState {
  OPEN,
  /** No answer comes; half of the calls take effect. */
  LOSES_ANSWERS,
  /** No call arrives. */
  CUT
}
