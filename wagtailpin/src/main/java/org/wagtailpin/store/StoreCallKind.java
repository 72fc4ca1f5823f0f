package org.wagtailpin.store;

/** The kinds of call that are counted against the store's rates. */
public enum StoreCallKind {
  READ("read"),
  WRITE("write"),
  LEASE("lease"),
  WATCH("watch");

  private final String label;

  StoreCallKind(String label) {
    this.label = label;
  }

  /** Returns the name used in metrics. */
  public String label() {
    return label;
  }
}
