package org.wagtailpin.hostlist;

/** Tells which hosts are to get no new work. Safe for all threads. */
public interface LeavingHostLookup {

  /**
   * Tells whether a host is leaving or gone.
   *
   * @param address the host's IP address
   */
  boolean isLeaving(String address);
}
