package org.wagtailpin.limits;

import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.clock.Clock;

/**
 * Statistics of the service times and transferred bytes of each route and service, by which work is
 * classed as short or long.
 *
 * <p>The expected time of a route decays while the route gets no answers, so that a route whose
 * work is refused for its length is tried again. Safe for all threads.
 */
public final class RouteStatistics {

  /** Time expected of a service or a route that has not answered yet. */
  static final double DEFAULT_MILLIS = 20;

  private static final double MEDIAN_QUANTILE = 0.5;
  private static final double TAIL_QUANTILE = 0.95;
  private static final double BYTES_SMOOTHING_FACTOR = 0.05;

  /** How many of its last answers a route or a service is judged by. */
  private static final int ROUTE_WINDOW = 41;

  private static final int SERVICE_WINDOW = 101;

  /** Answers of a route before its longest work is estimated. */
  private static final int MIN_ANSWERS = 8;

  /** How much longer than usual the work of stragglers takes, which are 3 in 100. */
  private static final double STRAGGLER_FACTOR = 7;

  /**
   * Time without answers after which the expected time of a route starts to decay, and the time
   * constant of that decay.
   */
  private static final double IDLE_DECAY_MILLIS = 1000;

  private final Clock clock;
  private final ConcurrentHashMap<String, QuantileEstimator> routeMedians =
      new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, QuantileEstimator> routeTails = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, MovingAverage> routeBytes = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, QuantileEstimator> serviceMedians =
      new ConcurrentHashMap<>();

  /**
   * Creates statistics without samples.
   *
   * @param clock the clock
   */
  public RouteStatistics(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records the service time of an answered attempt.
   *
   * @param service the service
   * @param route the route
   * @param millis the time, in milliseconds
   */
  public void recordServiceTime(String service, String route, double millis) {
    long now = clock.millis();
    routeMedians
        .computeIfAbsent(route, name -> new QuantileEstimator(ROUTE_WINDOW, MEDIAN_QUANTILE))
        .add(millis, now);
    routeTails
        .computeIfAbsent(route, name -> new QuantileEstimator(ROUTE_WINDOW, TAIL_QUANTILE))
        .add(millis, now);
    serviceMedians
        .computeIfAbsent(service, name -> new QuantileEstimator(SERVICE_WINDOW, MEDIAN_QUANTILE))
        .add(millis, now);
  }

  /**
   * Records the bytes that an answered attempt transferred.
   *
   * @param route the route
   * @param bytes the bytes of the bodies of its request and answer
   */
  public void recordBytes(String route, long bytes) {
    this.routeBytes
        .computeIfAbsent(route, name -> new MovingAverage(BYTES_SMOOTHING_FACTOR))
        .add((double) bytes);
  }

  /**
   * Returns how many bytes an attempt on a route is expected to transfer, 0 if nothing is known.
   *
   * @param route the route
   */
  public double expectedBytes(String route) {
    MovingAverage average = routeBytes.get(route);
    return average == null ? 0 : average.orElse(0);
  }

  /**
   * Returns the time that an attempt on a route is expected to take, in milliseconds, which is that
   * of its service before the route's first answer.
   *
   * @param service the service
   * @param route the route
   */
  public double expectedMillis(String service, String route) {
    return measuredMillis(route).orElseGet(() -> medianMillis(service));
  }

  /**
   * Returns the time that an attempt on a route is expected to take by the answers of the route
   * itself, in milliseconds; empty before its first answer.
   *
   * @param route the route
   */
  public OptionalDouble measuredMillis(String route) {
    QuantileEstimator median = routeMedians.get(route);
    if (median == null) {
      return OptionalDouble.empty();
    }
    double idleMillis = Math.max(0, clock.millis() - median.lastSampleMillis() - IDLE_DECAY_MILLIS);
    return OptionalDouble.of(
        median.millisOrElse(DEFAULT_MILLIS) * Math.exp(-idleMillis / IDLE_DECAY_MILLIS));
  }

  /**
   * Returns how many of the last answers of a route its expected time is based on, 0 before its
   * first.
   *
   * @param route the route
   */
  public int answers(String route) {
    QuantileEstimator median = routeMedians.get(route);
    return median == null ? 0 : median.size();
  }

  /**
   * Returns the time that 95% of the attempts on a route do not exceed, in milliseconds.
   *
   * @param service the service
   * @param route the route
   */
  public double tailMillis(String service, String route) {
    QuantileEstimator tail = routeTails.get(route);
    return tail == null ? medianMillis(service) : tail.millisOrElse(DEFAULT_MILLIS);
  }

  /**
   * Returns a time that hardly any answer to a route exceeds, in milliseconds: that of a straggler
   * which waits at its server as long as the slowest of the other answers. Empty while there are
   * too few answers to tell.
   *
   * @param route the route
   */
  public OptionalDouble longestMillis(String route) {
    QuantileEstimator tail = routeTails.get(route);
    if (tail == null || tail.size() < MIN_ANSWERS) {
      return OptionalDouble.empty();
    }
    // While servers have queues, the median is mostly the time in these, which is not multiplied.
    double workMillis = tail.lowMillis();
    double waitMillis = Math.max(0, tail.millisOrElse(workMillis) - workMillis);
    return OptionalDouble.of(STRAGGLER_FACTOR * workMillis + waitMillis);
  }

  /**
   * Returns the median time of the answers of a service, in milliseconds.
   *
   * @param service the service
   */
  public double medianMillis(String service) {
    QuantileEstimator median = serviceMedians.get(service);
    return median == null ? DEFAULT_MILLIS : median.millisOrElse(DEFAULT_MILLIS);
  }

  /**
   * Returns whether a route's work is long compared with the median of its service.
   *
   * @param service the service
   * @param route the route
   * @param factor the multiple of the median above which work is long, at least 1
   */
  public boolean isLongWork(String service, String route, double factor) {
    QuantileEstimator median = routeMedians.get(route);
    return median != null && median.millisOrElse(DEFAULT_MILLIS) > factor * medianMillis(service);
  }
}
