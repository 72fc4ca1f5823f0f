package org.wagtailpin.membership;

/** How far this entry is cut off. */
public enum Isolation {
  /** The store answers and at least one other entry is heard, or there is no other entry. */
  CONNECTED,
  /** The store does not answer; other entries are heard. */
  STORE_LOST,
  /** The store answers; other entries are registered and none is heard. */
  PEERS_LOST,
  /**
   * Neither the store nor another entry is heard. The entry goes on serving with its configuration
   * and its guaranteed shares, and changes nothing.
   */
  SERVING_ALONE
}
