package org.wagtailpin.transport;

import io.netty.util.AsciiString;

/**
 * The headers by which customers are identified, to callers and to backend servers.
 *
 * @param key header in which a caller sends its key; never forwarded if there are customers
 * @param customer header with the customer's name, set by the entry in requests to servers
 */
public record CustomerHeaders(AsciiString key, AsciiString customer) {}
