package org.wagtailpin.caller;

/**
 * Settings of a listener for callers.
 *
 * @param kind who connects
 * @param address the IP address to listen on
 * @param port the TCP port, 0 to have one chosen
 * @param entry the name of this entry, the start of call identifiers
 * @param limits the limits of each connection
 */
public record CallerSettings(
    ListenerKind kind, String address, int port, String entry, CallerLimits limits) {}
