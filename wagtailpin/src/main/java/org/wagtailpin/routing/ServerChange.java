package org.wagtailpin.routing;

/** A change in whether a server takes work. */
public enum ServerChange {
  EJECTED("ejected"),
  RETURNED("returned"),
  LEAVING("leaving"),
  STAYING("staying"),
  COLD("cold"),
  WARM("warm"),
  UNANSWERING("unanswering"),
  ANSWERING("answering"),
  STATES_LEAVING("states-leaving"),
  PAUSED("paused"),
  RESUMED("resumed");

  private final String label;

  ServerChange(String label) {
    this.label = label;
  }

  /** Returns the name used in log lines and metrics. */
  public String label() {
    return label;
  }
}
