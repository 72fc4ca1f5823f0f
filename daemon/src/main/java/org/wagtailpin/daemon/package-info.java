/** The entry daemon: connects the library to sockets, settings and signals. */
package org.wagtailpin.daemon;
