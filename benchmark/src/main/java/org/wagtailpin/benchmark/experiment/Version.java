package org.wagtailpin.benchmark.experiment;

import org.wagtailpin.routing.Placement;

/** A policy under comparison, made anew for each run. */
interface Version {

  /** Makes the placement of one entry. */
  Placement placement(EntryContext context);

  /** Told, on the server's thread, of each slot at the moment it frees up. */
  default void slotFreed(String server) {}
}
