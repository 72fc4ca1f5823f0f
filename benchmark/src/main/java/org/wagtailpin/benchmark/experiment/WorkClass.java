package org.wagtailpin.benchmark.experiment;

/** The classes of work whose latencies are told apart. */
enum WorkClass {
  /** Work of usual length that may not wait. */
  SHORT,
  /** Work that may wait behind other work. */
  PATIENT,
  /** Stragglers, and routes of long work. */
  LONG
}
