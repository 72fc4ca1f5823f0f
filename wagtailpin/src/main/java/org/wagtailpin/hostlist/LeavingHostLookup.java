package org.wagtailpin.hostlist;

/** Look-up of the hosts that get no new work. Thread-safe. */
public interface LeavingHostLookup {

  /**
   * Returns whether a host is leaving or gone.
   *
   * @param address the host's IP address
   */
  boolean isLeaving(String address);
}
