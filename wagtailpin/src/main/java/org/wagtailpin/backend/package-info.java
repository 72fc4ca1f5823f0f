/** Client for backend servers over HTTP/1.1, with one exchange at a time on each connection. */
package org.wagtailpin.backend;
