package org.wagtailpin.fleet;

/** State of the watcher of a failure domain, as a follower sees it. */
enum WatcherStanding {
  /** The watcher answers, and its state is the store's. */
  FOLLOWED,
  /** No watcher is known. */
  UNKNOWN,
  /** The watcher has not answered for some time. */
  SILENT,
  /** The connection to the watcher was closed or refused. */
  LINK_LOST,
  /** The watcher is about to leave. */
  LEAVING,
  /** The watcher answers, but the store does not answer the watcher. */
  STORE_LOST
}
