package org.wagtailpin.hostlist;

/** What the host list tells of a host. */
public enum HostState {
  LIVE,
  LEAVING,
  /** The host was taken away; it does not come back. */
  GONE,
  /** The list has said nothing that can be relied on yet. */
  UNKNOWN
}
