package org.wagtailpin.caller;

/**
 * Settings of a listener for callers.
 *
 * @param kind the kind of callers
 * @param address the IP address to listen on
 * @param port the TCP port, 0 for any free port
 * @param entry the name of this entry, used as prefix of request identifiers
 * @param limits the limits of the connections
 */
public record CallerSettings(
    ListenerKind kind, String address, int port, String entry, CallerLimits limits) {}
