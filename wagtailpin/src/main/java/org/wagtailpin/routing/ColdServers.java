package org.wagtailpin.routing;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.limits.RequestPace;
import org.wagtailpin.limits.UncoordinatedRate;
import org.wagtailpin.membership.LimitShares;

/**
 * Keeps this entry's requests to cold servers within its part of what these tolerate.
 *
 * <p>Each entry sends at most one request in each period of its part, at times that do not depend
 * on other entries, so that the bound also holds for entries that are cut off from the fleet. Safe
 * for all threads.
 */
final class ColdServers {

  /**
   * What a cold server tolerates in any one second: {@code slowStartOverrun} and {@code
   * slowStartSlack} of the platform's bounds.
   */
  static final UncoordinatedRate.Tolerance TOLERANCE = new UncoordinatedRate.Tolerance(1.5, 8, 1);

  /**
   * Time after its start in which an entry sends no requests to cold servers, in milliseconds. It
   * does not know the size of the fleet yet, and would take too large a part.
   */
  static final long SETTLING_MILLIS = 5_000;

  private final LimitShares shares;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final PlacementObserver observer;
  private final long settledMillis;

  ColdServers(
      LimitShares shares, Clock clock, UniformRandomProvider random, PlacementObserver observer) {
    this.shares = shares;
    this.clock = clock;
    this.random = random;
    this.observer = observer;
    this.settledMillis = clock.millis() + SETTLING_MILLIS;
  }

  /**
   * Returns this entry's part of the rate that a server tolerates, in requests per second; empty if
   * the server is not cold.
   */
  Optional<Double> sharePerSecond(ServerState server) {
    if (server.cold().isSurelyWarm()) {
      return Optional.empty();
    }
    long now = clock.millis();
    Optional<Double> perSecond = server.cold().perSecond(now);
    if (server.cold().changes(perSecond.isPresent())) {
      observer.serverChanged(
          server.server(), perSecond.isPresent() ? ServerChange.COLD : ServerChange.WARM);
    }
    return perSecond.map(rate -> now < settledMillis ? 0 : share(rate));
  }

  private double share(double perSecond) {
    double equalShare = shares.share(perSecond);
    if (equalShare <= 0) {
      return 0;
    }
    double entries = Math.max(1, perSecond / equalShare);
    return UncoordinatedRate.perSecond(perSecond, entries, TOLERANCE) / entries;
  }

  /** Returns whether a server is cold. */
  boolean isCold(ServerState server) {
    return sharePerSecond(server).isPresent();
  }

  /** Returns whether a request may be sent to a server now. */
  boolean allow(ServerState server) {
    return sharePerSecond(server)
        .map(share -> pace(server).isOpen(clock.exactMillis(), share))
        .orElse(true);
  }

  /** Counts a request to a server, if it may be sent now. */
  boolean tryTake(ServerState server) {
    return sharePerSecond(server)
        .map(share -> pace(server).tryUse(clock.exactMillis(), share))
        .orElse(true);
  }

  /** Returns the time until a request may be sent to a server, in milliseconds. */
  double millisToNext(ServerState server) {
    return sharePerSecond(server)
        .map(share -> pace(server).millisToNext(clock.exactMillis(), share))
        .orElse(0.0);
  }

  private RequestPace pace(ServerState server) {
    return server.cold().pace(() -> new RequestPace(clock.exactMillis(), random.nextDouble()));
  }
}
