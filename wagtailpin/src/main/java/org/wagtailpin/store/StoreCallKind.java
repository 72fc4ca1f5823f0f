package org.wagtailpin.store;

/** Kinds of store calls that are counted separately; lists count as reads. */
public enum StoreCallKind {
  READ("read"),
  WRITE("write"),
  LEASE("lease"),
  WATCH("watch");

  private final String label;

  StoreCallKind(String label) {
    this.label = label;
  }

  /** Returns the value of the {@code kind} label in metrics. */
  public String label() {
    return label;
  }
}
