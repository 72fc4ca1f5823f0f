package org.wagtailpin.hostlist;

import java.util.List;
import org.wagtailpin.error.Fault;

/** Result of reading the host list. */
public sealed interface HostListResult {

  /**
   * The list was read.
   *
   * @param hosts the listed hosts
   */
  record Listed(List<Host> hosts) implements HostListResult {

    /** Makes the list unmodifiable. */
    public Listed {
      hosts = List.copyOf(hosts);
    }
  }

  /**
   * The list could not be read.
   *
   * @param fault the cause
   */
  record Failed(Fault fault) implements HostListResult {}
}
