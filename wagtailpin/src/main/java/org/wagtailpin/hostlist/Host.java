package org.wagtailpin.hostlist;

/**
 * A host of the platform.
 *
 * @param name the host's name
 * @param address its IP address, which identifies it
 * @param state its state according to the host list
 */
public record Host(String name, String address, HostState state) {}
