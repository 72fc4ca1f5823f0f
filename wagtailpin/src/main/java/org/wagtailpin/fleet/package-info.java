/**
 * Distribution of the state of the store in a large fleet, at a cost that does not grow with the
 * number of entries: one entry of each failure domain watches the store, and the others follow it.
 * Described in {@code docs/design/fleet.md}.
 */
package org.wagtailpin.fleet;
