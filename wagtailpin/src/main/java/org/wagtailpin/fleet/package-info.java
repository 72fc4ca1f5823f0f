/**
 * How the entries of a large fleet learn the state of the store at a cost that does not grow with
 * the number of entries: one entry of each failure domain watches the store, and the others follow
 * it. Described in {@code docs/design/fleet.md}.
 */
package org.wagtailpin.fleet;
