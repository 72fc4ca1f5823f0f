package org.wagtailpin.hostlist;

/** Look-up of the last known states of hosts. Thread-safe. */
public interface HostStates {

  /**
   * Returns the last known state of a host.
   *
   * @param address the host's IP address
   */
  HostState stateOf(String address);
}
