package org.wagtailpin.hostlist;

/**
 * A host of the platform.
 *
 * @param name the host's name
 * @param address its IP address
 * @param state what the list tells of it
 */
public record Host(String name, String address, HostState state) {}
