package org.wagtailpin.routing;

/**
 * Answers whether this entry may send a server a request now, and if not, when. Each implementation
 * knows one reason to hold requests back. Safe for all threads.
 */
interface ServerGate {

  /** Time until a gate opens of which nothing is known before something is heard of the server. */
  double UNKNOWN_MILLIS = Double.POSITIVE_INFINITY;

  /** What a closed gate means for the requests of its server. */
  enum Kind {
    /** The server takes no work. Nothing is sent to it, also if no other server is left. */
    AVAILABILITY,
    /** The server answers badly. This is disregarded when no server answers well. */
    HEALTH,
    /** The server takes work, though not at this moment. Requests wait for it. */
    PACE,
    /**
     * The server takes a share of its usual work. Consulted once for each time that the server is
     * drawn in a sample, and closed at random.
     */
    SHARE
  }

  /** Returns what it means that this gate is closed. */
  Kind kind();

  /**
   * Returns the time until a request may be sent, in milliseconds; 0 if one may be sent now, {@link
   * #UNKNOWN_MILLIS} if that is not known.
   *
   * @param service the service
   * @param server one of its servers
   * @param nowMillis the current time by {@link org.wagtailpin.clock.Clock#exactMillis()}
   */
  double millisUntilOpen(ServiceState service, ServerState server, double nowMillis);

  /**
   * Counts a request that is about to be sent, where requests are counted. A request that another
   * gate then holds back stays counted.
   *
   * @param service the service
   * @param server one of its servers
   * @param nowMillis the current time
   * @return false if another thread has used the request meanwhile
   */
  default boolean tryPass(ServiceState service, ServerState server, double nowMillis) {
    return true;
  }

  /**
   * Returns whether the server may be probed for its load.
   *
   * @param service the service
   * @param server one of its servers
   * @param nowMillis the current time
   */
  default boolean allowsProbe(ServiceState service, ServerState server, double nowMillis) {
    return kind() != Kind.AVAILABILITY || millisUntilOpen(service, server, nowMillis) <= 0;
  }
}
