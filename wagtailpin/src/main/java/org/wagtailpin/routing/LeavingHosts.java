package org.wagtailpin.routing;

import java.util.Set;

/** The hosts that the platform's host list names as leaving. Safe for all threads. */
public final class LeavingHosts {

  private volatile Set<String> addresses = Set.of();

  /**
   * Replaces the set of leaving hosts.
   *
   * @param leavingAddresses the IP addresses of the hosts that are leaving
   */
  public void publish(Set<String> leavingAddresses) {
    addresses = Set.copyOf(leavingAddresses);
  }

  /**
   * Returns whether a host is leaving.
   *
   * @param address its IP address
   */
  public boolean isLeaving(String address) {
    return addresses.contains(address);
  }
}
