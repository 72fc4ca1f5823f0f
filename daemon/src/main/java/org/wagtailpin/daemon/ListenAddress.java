package org.wagtailpin.daemon;

/**
 * An address to listen on or to connect to.
 *
 * @param address the IP address
 * @param port the TCP port, 0 to 65535; when listening, 0 selects a free port
 */
public record ListenAddress(String address, int port) {}
