package org.wagtailpin.caller;

/** The kind of callers that connect to a listener, which determines the headers it trusts. */
public enum ListenerKind {
  /** External callers: headers defined by this project are removed from their requests. */
  PUBLIC,
  /** Backend servers making nested calls: their depth, deadline and caller group are trusted. */
  INTERNAL
}
