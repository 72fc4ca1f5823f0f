/** A stand-in for the platform's store: a process that also embeds in tests. */
package org.wagtailpin.standins.store;
