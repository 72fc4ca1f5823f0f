/**
 * The entry's event log: what it decided about requests and what it believes, one JSON line each.
 *
 * <p>{@link org.wagtailpin.eventlog.EventKind} lists the events and their fields. Events of a
 * request are gathered until it ends, so that all of them are written if it failed, and if it is
 * one of a sample otherwise.
 */
package org.wagtailpin.eventlog;
