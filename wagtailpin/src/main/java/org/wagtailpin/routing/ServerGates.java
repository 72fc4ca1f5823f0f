package org.wagtailpin.routing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** All gates of the servers of an entry, consulted by their kind. Safe for all threads. */
final class ServerGates {

  private final List<ServerGate> all;
  private final Map<ServerGate.Kind, List<ServerGate>> byKind =
      new EnumMap<>(ServerGate.Kind.class);

  /**
   * Creates a set of gates.
   *
   * @param gates the gates; those of a kind are consulted in this order
   */
  ServerGates(List<ServerGate> gates) {
    all = List.copyOf(gates);
    for (ServerGate.Kind kind : ServerGate.Kind.values()) {
      byKind.put(kind, new ArrayList<>());
    }
    all.forEach(gate -> byKind.get(gate.kind()).add(gate));
  }

  /** Returns whether all gates of a kind are open for a server. */
  boolean isOpen(ServerGate.Kind kind, ServiceState service, ServerState server, double nowMillis) {
    List<ServerGate> gates = byKind.get(kind);
    for (int i = 0; i < gates.size(); i++) {
      if (gates.get(i).millisUntilOpen(service, server, nowMillis) > 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns the time until all gates of a kind are open for a server, as each gate states it. */
  double millisUntilOpen(
      ServerGate.Kind kind, ServiceState service, ServerState server, double nowMillis) {
    double longest = 0;
    for (ServerGate gate : byKind.get(kind)) {
      longest = Math.max(longest, gate.millisUntilOpen(service, server, nowMillis));
    }
    return longest;
  }

  /** Counts a request that is about to be sent; returns false if it may not be sent after all. */
  boolean tryPass(ServiceState service, ServerState server, double nowMillis) {
    for (ServerGate gate : all) {
      if (!gate.tryPass(service, server, nowMillis)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a server may be probed for its load. */
  boolean allowsProbe(ServiceState service, ServerState server, double nowMillis) {
    for (ServerGate gate : all) {
      if (!gate.allowsProbe(service, server, nowMillis)) {
        return false;
      }
    }
    return true;
  }
}
