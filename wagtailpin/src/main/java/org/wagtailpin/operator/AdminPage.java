package org.wagtailpin.operator;

/** A page that the admin listener serves for GET and HEAD requests. */
public interface AdminPage {

  /** Returns the URL path, which starts with a slash. */
  String path();

  /** Creates the current answer. Called on the listener's thread; must not block. */
  AdminAnswer answer();
}
