/**
 * The platform's key-value store as a peer: compare-and-swap, leases and watches.
 *
 * <p>Every call ends in one of the sealed result types. A write whose answer was lost ends in
 * {@link org.wagtailpin.store.WriteResult.Unknown}, never in a guess.
 */
package org.wagtailpin.store;
