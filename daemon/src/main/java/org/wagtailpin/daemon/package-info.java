/** The entry daemon: wires the library to sockets, settings and signals. */
package org.wagtailpin.daemon;
