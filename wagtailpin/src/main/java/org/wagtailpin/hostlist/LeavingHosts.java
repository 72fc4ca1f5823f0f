package org.wagtailpin.hostlist;

/** Tells which hosts are to get no new work. Safe for all threads. */
public interface LeavingHosts {

  /**
   * Tells whether a host is leaving or gone.
   *
   * @param address the host's IP address
   */
  boolean isLeaving(String address);
}
