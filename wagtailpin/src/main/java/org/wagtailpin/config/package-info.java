/**
 * The operators' configuration: its objects, the tickets that change them and the merged state.
 *
 * <p>The state of an object is that of the accepted ticket with the highest number among those that
 * change it, so states can be merged in any order. Types are immutable unless their comment says
 * otherwise.
 */
package org.wagtailpin.config;
