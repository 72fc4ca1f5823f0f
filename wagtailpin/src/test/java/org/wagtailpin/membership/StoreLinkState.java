package org.wagtailpin.membership;

/** State of one entry's connection to the store. */
enum StoreLinkState {
  OPEN,
  /** No answer arrives; half of the calls take effect in the store. */
  LOSES_ANSWERS,
  /** No call reaches the store. */
  CUT
}
