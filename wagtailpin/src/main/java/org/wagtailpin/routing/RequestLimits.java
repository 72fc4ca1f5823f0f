package org.wagtailpin.routing;

import java.util.Optional;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.limits.RequestPace;
import org.wagtailpin.limits.UncoordinatedRate;
import org.wagtailpin.membership.LimitShares;

/**
 * Keeps this entry within its share of the limits of requests that servers name.
 *
 * <p>A limit holds from the first answer that names it until an answer names none. Every request to
 * the server counts, also second attempts; such a server is not probed. Safe for all threads.
 */
final class RequestLimits implements ServerGate {

  /** Rate at which all entries together try a server that takes none, to see the limit end. */
  private static final double MIN_PER_SECOND = 0.05;

  private static final double MILLIS_PER_SECOND = 1000;

  private final LimitShares shares;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final PlacementObserver observer;
  private final ColdServers coldServers;

  RequestLimits(
      LimitShares shares,
      Clock clock,
      UniformRandomProvider random,
      PlacementObserver observer,
      ColdServers coldServers) {
    this.coldServers = coldServers;
    this.shares = shares;
    this.clock = clock;
    this.random = random;
    this.observer = observer;
  }

  /** Updates a server's limit by what an answer states. */
  void record(ServerState server, LimitStatement statement) {
    Optional<ServerLimit> before = server.requestLimit();
    if (statement instanceof LimitStatement.Limited limited) {
      if (before.isEmpty() || before.get().perSecond() != limited.perSecond()) {
        RequestPace pace =
            before
                .map(ServerLimit::pace)
                .orElseGet(() -> new RequestPace(clock.exactMillis(), random.nextDouble()));
        change(server, Optional.of(new ServerLimit(limited.perSecond(), pace)));
      }
    } else if (statement instanceof LimitStatement.Unlimited && before.isPresent()) {
      change(server, Optional.empty());
    }
  }

  private void change(ServerState server, Optional<ServerLimit> limit) {
    server.requestLimit(limit);
    observer.limitChanged(
        server.server(),
        limit.map(ServerLimit::perSecond),
        limit.map(this::sharePerSecond).orElse(Double.POSITIVE_INFINITY));
  }

  private double sharePerSecond(ServerLimit limit) {
    double wholePerSecond = Math.max(MIN_PER_SECOND, limit.perSecond());
    double sharePerSecond = shares.share(wholePerSecond);
    if (sharePerSecond <= 0) {
      return 0;
    }
    double entries = Math.max(1, wholePerSecond / sharePerSecond);
    return sharePerSecond * UncoordinatedRate.perSecond(wholePerSecond, entries) / wholePerSecond;
  }

  @Override
  public Kind kind() {
    return Kind.PACE;
  }

  @Override
  public double millisUntilOpen(ServiceState service, ServerState server, double nowMillis) {
    double namedMillis =
        server
            .requestLimit()
            .map(limit -> limit.pace().millisToNext(nowMillis, sharePerSecond(limit)))
            .orElse(0.0);
    return Math.max(namedMillis, coldServers.millisToNext(server));
  }

  @Override
  public boolean tryPass(ServiceState service, ServerState server, double nowMillis) {
    return coldServers.allow(server)
        && server
            .requestLimit()
            .map(limit -> limit.pace().tryUse(nowMillis, sharePerSecond(limit)))
            .orElse(true)
        && coldServers.tryTake(server);
  }

  /** A probe counts against the limit that a server names. */
  @Override
  public boolean allowsProbe(ServiceState service, ServerState server, double nowMillis) {
    return server.requestLimit().isEmpty();
  }

  /**
   * Returns the expected time, in milliseconds, until the limits let a request through; 0 if one of
   * the servers has no limit, infinite if there is no server.
   *
   * @param servers the servers of the service
   * @param accepts whether a server takes work
   * @param ahead how many requests go first
   */
  double waitMillis(Iterable<ServerState> servers, Predicate<ServerState> accepts, int ahead) {
    double millisPerRequest = millisPerRequest(servers, accepts);
    if (millisPerRequest == 0 || Double.isInfinite(millisPerRequest)) {
      return millisPerRequest;
    }
    double nextMillis = Double.POSITIVE_INFINITY;
    for (ServerState server : servers) {
      if (accepts.test(server)) {
        double namedMillis =
            server
                .requestLimit()
                .map(limit -> limit.pace().millisToNext(clock.exactMillis(), sharePerSecond(limit)))
                .orElse(0.0);
        nextMillis = Math.min(nextMillis, Math.max(namedMillis, coldServers.millisToNext(server)));
      }
    }
    return nextMillis + ahead * millisPerRequest;
  }

  /** Returns this entry's share of the limits of a server, infinite if it has none. */
  private double sharePerSecond(ServerState server) {
    double named = server.requestLimit().map(this::sharePerSecond).orElse(Double.POSITIVE_INFINITY);
    return Math.min(named, coldServers.sharePerSecond(server).orElse(Double.POSITIVE_INFINITY));
  }

  /**
   * Returns the expected time, in milliseconds, between two requests of this entry that the limits
   * let through; 0 if one of the servers has no limit, infinite if there is no server.
   *
   * @param servers the servers of the service
   * @param accepts whether a server takes work
   */
  double millisPerRequest(Iterable<ServerState> servers, Predicate<ServerState> accepts) {
    double perSecond = 0;
    for (ServerState server : servers) {
      if (accepts.test(server)) {
        double share = sharePerSecond(server);
        if (Double.isInfinite(share)) {
          return 0;
        }
        perSecond += share;
      }
    }
    return MILLIS_PER_SECOND / perSecond;
  }
}
