/** The platform's list of hosts as a peer: it tells live and leaving hosts, and lags. */
package org.wagtailpin.hostlist;
