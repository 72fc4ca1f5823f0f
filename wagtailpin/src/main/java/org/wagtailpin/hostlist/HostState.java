package org.wagtailpin.hostlist;

/** State of a host according to the host list. */
public enum HostState {
  LIVE,
  LEAVING,
  /** The host was removed permanently. */
  GONE,
  /** The host was never listed, or with a state that this version does not support. */
  UNKNOWN
}
