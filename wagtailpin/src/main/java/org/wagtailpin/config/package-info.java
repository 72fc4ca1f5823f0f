/**
 * The operators' configuration: its objects, the tickets that change them and the merged state.
 *
 * <p>The state of an object is that of the highest accepted ticket that touches it, so states merge
 * in any order. Everything here is immutable unless its comment says otherwise.
 */
package org.wagtailpin.config;
