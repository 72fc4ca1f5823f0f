package org.wagtailpin.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.limits.RecentAverage;
import org.wagtailpin.membership.LimitShares;

/**
 * Restricts an entry of a large fleet to some of the servers of a service, so that it finds a
 * connection to them that is still open.
 *
 * <p>An entry keeps an idle connection for 4 s. With 174 entries, 195 servers and 400 requests a
 * second it sends a server one request in 85 s, so nearly each of them opens a connection, and so
 * does each probe. The subset holds so many servers that each gets two requests in these 4 s. It
 * consists of the nearest servers, in an order that rendezvous hashing makes different for each
 * entry, so that all servers belong to about as many subsets. It widens for a request that finds no
 * free slot in it.
 *
 * <p>Takes effect where more than a set number of entries are known and an entry sends each server
 * less than one request in {@value #MIN_PERIOD_MILLIS} ms. With E entries, n servers, F requests in
 * flight and a work time T, that is E x n > F x {@value #MIN_PERIOD_MILLIS} / T. Safe for all
 * threads.
 */
public final class ServerSubsets {

  private static final int MIN_PERIOD_MILLIS = 16_000;

  /** Time between two requests to a server of the subset, half of that for which it is kept. */
  private static final double PERIOD_MILLIS = 2_000;

  /** Fewest servers, so that the less busy one can be chosen. */
  private static final int MIN_SERVERS = 2;

  /** Time constant of the rate of requests; demand varies by half within 17 s. */
  private static final double RATE_MILLIS = 5_000;

  /** Servers in the order of their subsets, for a list of servers. */
  private record Ranking(List<ServerState> servers, List<ServerState> ranked) {}

  private final String entry;
  private final int entriesWithout;
  private final LimitShares shares;
  private final ConcurrentHashMap<String, RecentAverage> requests = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<ServiceState, Ranking> nearRankings = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<ServiceState, Ranking> farRankings = new ConcurrentHashMap<>();

  /**
   * Creates subsets of one entry.
   *
   * @param entry the name of the entry
   * @param entriesWithout the number of entries up to which the subset holds all servers; 0 if it
   *     always does
   * @param shares this entry's shares, by which the number of entries is known
   */
  public ServerSubsets(String entry, int entriesWithout, LimitShares shares) {
    this.entry = entry;
    this.entriesWithout = entriesWithout;
    this.shares = shares;
  }

  /** Returns subsets that always hold all servers. */
  static ServerSubsets whole() {
    return new ServerSubsets(
        "",
        0,
        new LimitShares() {
          @Override
          public int integerShare(String limitName, int limit) {
            return limit;
          }

          @Override
          public double share(double limit) {
            return limit;
          }
        });
  }

  /** Counts a request that is sent to a server of a service. */
  void recordRequest(ServiceState service, double nowMillis) {
    requests
        .computeIfAbsent(service.name(), name -> new RecentAverage(RATE_MILLIS))
        .add(1, nowMillis);
  }

  /**
   * Returns how many of some servers of a service the subset holds.
   *
   * @param service the service
   * @param servers the number of servers
   * @param nowMillis the current time
   */
  int width(ServiceState service, int servers, double nowMillis) {
    if (entriesWithout == 0 || servers <= MIN_SERVERS || shares.share(entriesWithout) >= 1) {
      return servers;
    }
    RecentAverage sent = requests.get(service.name());
    double perMilli = sent == null ? 0 : sent.weight(nowMillis) / RATE_MILLIS;
    if (servers <= perMilli * MIN_PERIOD_MILLIS) {
      return servers;
    }
    return Math.max(MIN_SERVERS, (int) Math.ceil(perMilli * PERIOD_MILLIS));
  }

  /** Returns the servers of this entry's region, those of the subset first. */
  List<ServerState> rankedNear(ServiceState service) {
    return ranked(nearRankings, service, service.view().near());
  }

  /** Returns the servers of other regions, those of the subset first. */
  List<ServerState> rankedFar(ServiceState service) {
    return ranked(farRankings, service, service.view().far());
  }

  private List<ServerState> ranked(
      ConcurrentHashMap<ServiceState, Ranking> rankings,
      ServiceState service,
      List<ServerState> servers) {
    Ranking known = rankings.get(service);
    if (known == null || known.servers() != servers) {
      List<ServerState> ranked = new ArrayList<>(servers);
      ranked.sort(
          Comparator.comparingDouble(ServerState::networkDelayMillis)
              .thenComparingLong(server -> hash(server.server().name())));
      known = new Ranking(servers, ranked);
      rankings.put(service, known);
    }
    return known.ranked();
  }

  private long hash(String server) {
    return Hashing.komihash5_0().hashStream().putString(entry).putString(server).getAsLong();
  }
}
