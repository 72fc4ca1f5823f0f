/** Requests to backend servers over HTTP/1.1, one exchange at a time on each connection. */
package org.wagtailpin.backend;
