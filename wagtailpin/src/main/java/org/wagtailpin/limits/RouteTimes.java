package org.wagtailpin.limits;

import java.util.concurrent.ConcurrentHashMap;

/**
 * The service times learnt for each route and service, and the size class that follows from them.
 *
 * <p>Safe for all threads.
 */
public final class RouteTimes {

  /** Expected of a service that has not answered yet, in milliseconds. */
  private static final double UNKNOWN_MILLIS = 20;

  private static final double ROUTE_GAIN = 0.05;
  private static final double SERVICE_GAIN = 0.02;

  private final ConcurrentHashMap<String, MovingAverage> routes = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, TypicalTime> services = new ConcurrentHashMap<>();

  /**
   * Learns from an answered attempt.
   *
   * @param service the service
   * @param route the route
   * @param millis the time from dispatch to the answer, in milliseconds
   */
  public void learn(String service, String route, double millis) {
    routes.computeIfAbsent(route, name -> new MovingAverage(ROUTE_GAIN)).add(millis);
    services.computeIfAbsent(service, name -> new TypicalTime(SERVICE_GAIN)).add(millis);
  }

  /**
   * Returns the time that an attempt on a route is expected to take, in milliseconds.
   *
   * @param service the service
   * @param route the route
   */
  public double expectedMillis(String service, String route) {
    MovingAverage average = routes.get(route);
    return average == null ? typicalMillis(service) : average.orElse(UNKNOWN_MILLIS);
  }

  /**
   * Returns the median time of the answers of a service, in milliseconds.
   *
   * @param service the service
   */
  public double typicalMillis(String service) {
    TypicalTime typical = services.get(service);
    return typical == null ? UNKNOWN_MILLIS : typical.millis(UNKNOWN_MILLIS);
  }

  /**
   * Tells whether a route's work is long, compared with the median of its service.
   *
   * @param service the service
   * @param route the route
   * @param factor how many times the median makes it long, at least 1
   */
  public boolean isLong(String service, String route, double factor) {
    return expectedMillis(service, route) > factor * typicalMillis(service);
  }
}
