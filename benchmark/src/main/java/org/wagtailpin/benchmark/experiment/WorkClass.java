package org.wagtailpin.benchmark.experiment;

/** Classes of work whose latencies are recorded separately. */
enum WorkClass {
  /** Work that is neither long nor allowed to wait behind other work. */
  SHORT,
  /** Work that may wait behind other work, unless it is long. */
  PATIENT,
  /** Stragglers and all work of routes marked as long work. */
  LONG
}
