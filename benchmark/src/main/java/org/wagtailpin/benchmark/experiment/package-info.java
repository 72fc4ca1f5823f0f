/**
 * Compares placement policies on stand-in servers over real sockets.
 *
 * <p>Entries and servers share the event loops of one process and communicate over loopback
 * connections; network delays, service times and faults are injected from seeds.
 */
package org.wagtailpin.benchmark.experiment;
