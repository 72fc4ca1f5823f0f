/**
 * Service discovery from keys of the store that other software writes: the registrations of backend
 * servers and the operator's document. Both are watched and merged as configuration objects.
 */
package org.wagtailpin.registry;
