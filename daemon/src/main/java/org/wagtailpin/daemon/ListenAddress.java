package org.wagtailpin.daemon;

/**
 * An address to listen on or to connect to.
 *
 * @param address the IP address
 * @param port the TCP port, 0 to 65535; 0 picks a free one where listening allows it
 */
public record ListenAddress(String address, int port) {}
