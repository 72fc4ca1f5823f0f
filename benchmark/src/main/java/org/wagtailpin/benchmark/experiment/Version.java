package org.wagtailpin.benchmark.experiment;

import org.wagtailpin.routing.Placement;

/** A placement policy under comparison; a new instance is created for each run. */
interface Version {

  /** Creates the placement of one entry. */
  Placement placement(EntryContext context);

  /** Called on the server's event loop whenever one of its slots becomes free. */
  default void slotFreed(String server) {}
}
