package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;

/** Policy that picks one of a service's servers in the entry's region. For use by one thread. */
public interface Picker {

  /**
   * Picks a server.
   *
   * @param servers the servers, at least one
   * @return one of them
   */
  TrackedServer pick(List<TrackedServer> servers);
}
