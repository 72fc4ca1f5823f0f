package org.wagtailpin.routing;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.limits.RequestPace;
import org.wagtailpin.membership.LimitShares;

/**
 * Keeps this entry within its share of the limits of requests that servers name.
 *
 * <p>A limit holds from the first answer that names it until an answer names none. Every request to
 * the server counts, also second attempts; such a server is not probed. Safe for all threads.
 */
final class RequestLimits {

  /** Rate at which all entries together try a server that takes none, to see the limit end. */
  private static final double MIN_PER_SECOND = 0.05;

  private static final double MILLIS_PER_SECOND = 1000;

  private final LimitShares shares;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final PlacementObserver observer;

  RequestLimits(
      LimitShares shares, Clock clock, UniformRandomProvider random, PlacementObserver observer) {
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
    return shares.share(Math.max(MIN_PER_SECOND, limit.perSecond()));
  }

  /** Returns whether a request may be sent to a server now. */
  boolean allow(ServerState server) {
    return server
        .requestLimit()
        .map(limit -> limit.pace().isOpen(clock.exactMillis(), sharePerSecond(limit)))
        .orElse(true);
  }

  /** Counts a request to a server, if it may be sent now. */
  boolean tryTake(ServerState server) {
    return server
        .requestLimit()
        .map(limit -> limit.pace().tryUse(clock.exactMillis(), sharePerSecond(limit)))
        .orElse(true);
  }

  /**
   * Returns the expected time, in milliseconds, until the limits let a request through; 0 if one of
   * the servers has no limit.
   *
   * @param servers the servers that the request may be sent to
   * @param ahead how many requests go first
   */
  double waitMillis(Iterable<ServerState> servers, int ahead) {
    double totalPerSecond = 0;
    double nextMillis = Double.POSITIVE_INFINITY;
    for (ServerState server : servers) {
      Optional<ServerLimit> limit = server.requestLimit();
      if (limit.isEmpty()) {
        return 0;
      }
      double perSecond = sharePerSecond(limit.get());
      totalPerSecond += perSecond;
      nextMillis =
          Math.min(nextMillis, limit.get().pace().millisToNext(clock.exactMillis(), perSecond));
    }
    return totalPerSecond == 0
        ? Double.POSITIVE_INFINITY
        : nextMillis + ahead * MILLIS_PER_SECOND / totalPerSecond;
  }
}
