/**
 * The entry's event log: its decisions about requests and its state changes, one JSON line each.
 *
 * <p>{@link org.wagtailpin.eventlog.EventKind} lists the events and their fields. The events of a
 * request are buffered until it ends, because only then it is known whether it failed. They are
 * then written together or not at all: failed and successful requests are sampled separately, each
 * above a rate of its own.
 */
package org.wagtailpin.eventlog;
