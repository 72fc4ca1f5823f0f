package org.wagtailpin.operator;

/** A page that the admin listener serves to GET and HEAD. */
public interface AdminPage {

  /** Returns the path, beginning with a slash. */
  String path();

  /** Returns the page as it is now; runs on the listener's thread and must not block. */
  AdminAnswer answer();
}
