package org.wagtailpin.hostlist;

/** Tells the newest known state of hosts. Safe for all threads. */
public interface HostStates {

  /**
   * Returns the state of a host.
   *
   * @param address the host's IP address
   */
  HostState stateOf(String address);
}
