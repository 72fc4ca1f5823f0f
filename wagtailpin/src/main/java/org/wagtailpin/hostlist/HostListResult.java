package org.wagtailpin.hostlist;

import java.util.List;
import org.wagtailpin.error.Fault;

/** How a read of the host list ended. */
public sealed interface HostListResult {

  /**
   * The list came.
   *
   * @param hosts the hosts on it
   */
  record Listed(List<Host> hosts) implements HostListResult {

    /** Copies the list. */
    public Listed {
      hosts = List.copyOf(hosts);
    }
  }

  /**
   * Nothing is known.
   *
   * @param fault why
   */
  record Failed(Fault fault) implements HostListResult {}
}
