/** Stand-in for the platform's store, run as a process of its own or embedded in tests. */
package org.wagtailpin.standins.store;
