package org.wagtailpin.membership;

/** How far this entry is cut off from the store and from other entries. */
public enum Isolation {
  /** The store answers, and at least one other entry is heard or none is known. */
  CONNECTED,
  /** The store does not answer; at least one other entry is heard. */
  STORE_LOST,
  /** The store answers; other entries are known but none is heard. */
  PEERS_LOST,
  /**
   * The store does not answer and no other entry is heard. The entry continues to serve with its
   * configuration and its guaranteed shares, and changes nothing.
   */
  SERVING_ALONE
}
