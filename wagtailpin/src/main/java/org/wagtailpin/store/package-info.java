/**
 * Client of the platform's key-value store, with compare-and-swap, leases and watches.
 *
 * <p>Every call ends in one of the sealed result types. A write whose response was lost always ends
 * in {@link org.wagtailpin.store.WriteResult.Unknown}.
 */
package org.wagtailpin.store;
