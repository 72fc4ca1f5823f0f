package org.wagtailpin.caller;

/** Who connects to a listener, and so which headers are believed. */
public enum ListenerKind {
  /** Callers from outside: headers of this project are removed from their requests. */
  PUBLIC,
  /** Backend servers that call further: their depth, deadline and caller group are believed. */
  INTERNAL
}
