package org.wagtailpin.error;

/** The kind of peer that was involved in a step when an error occurred. */
public enum Peer {
  CALLER("caller"),
  BACKEND_SERVER("backend-server"),
  STORE("store"),
  HOST_LIST("host-list"),
  ENTRY_PEER("entry-peer"),
  OPERATOR("operator"),
  /** The entry itself; no other process was involved. */
  SELF("self");

  private final String label;

  Peer(String label) {
    this.label = label;
  }

  /** Returns the name used in answers, log lines and metrics. */
  public String label() {
    return label;
  }
}
