package org.wagtailpin.limits;

import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.clock.Clock;

/**
 * The service times and the bytes learnt for each route and service, and the size class that
 * follows from the times.
 *
 * <p>What was learnt of a route fades while it gets no answers, so that a route whose work is
 * refused for its length is tried again. Safe for all threads.
 */
public final class RouteTimes {

  /** Expected of a service that has not answered yet, in milliseconds. */
  private static final double UNKNOWN_MILLIS = 20;

  private static final double MEDIAN = 0.5;
  private static final double TAIL = 0.95;
  private static final double ROUTE_GAIN = 0.05;
  private static final double SERVICE_GAIN = 0.02;

  /** How long a route without answers keeps its full time, and then fades over, in milliseconds. */
  private static final double KEEP_MILLIS = 1000;

  private final Clock clock;
  private final ConcurrentHashMap<String, TypicalTime> routes = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, TypicalTime> tails = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, MovingAverage> bytes = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, TypicalTime> services = new ConcurrentHashMap<>();

  /**
   * Creates times without any history.
   *
   * @param clock the clock
   */
  public RouteTimes(Clock clock) {
    this.clock = clock;
  }

  /**
   * Learns from an answered attempt.
   *
   * @param service the service
   * @param route the route
   * @param millis the time from dispatch to the answer, in milliseconds
   */
  public void learn(String service, String route, double millis) {
    long now = clock.millis();
    routes.computeIfAbsent(route, name -> new TypicalTime(ROUTE_GAIN, MEDIAN)).add(millis, now);
    tails.computeIfAbsent(route, name -> new TypicalTime(ROUTE_GAIN, TAIL)).add(millis, now);
    services
        .computeIfAbsent(service, name -> new TypicalTime(SERVICE_GAIN, MEDIAN))
        .add(millis, now);
  }

  /**
   * Learns how much an answered attempt moved.
   *
   * @param route the route
   * @param bytes the bytes of the bodies of its request and answer
   */
  public void learnBytes(String route, long bytes) {
    this.bytes.computeIfAbsent(route, name -> new MovingAverage(ROUTE_GAIN)).add((double) bytes);
  }

  /**
   * Returns how much an attempt on a route is expected to move, in bytes; 0 if nothing is known.
   *
   * @param route the route
   */
  public double expectedBytes(String route) {
    MovingAverage known = bytes.get(route);
    return known == null ? 0 : known.orElse(0);
  }

  /**
   * Returns the time that an attempt on a route is expected to take, in milliseconds.
   *
   * @param service the service
   * @param route the route
   */
  public double expectedMillis(String service, String route) {
    TypicalTime typical = routes.get(route);
    if (typical == null) {
      return typicalMillis(service);
    }
    double idle = Math.max(0, clock.millis() - typical.lastMillis() - KEEP_MILLIS);
    return typical.millis(UNKNOWN_MILLIS) * Math.exp(-idle / KEEP_MILLIS);
  }

  /**
   * Returns the time that 95% of the attempts on a route do not exceed, in milliseconds.
   *
   * @param service the service
   * @param route the route
   */
  public double tailMillis(String service, String route) {
    TypicalTime tail = tails.get(route);
    return tail == null ? typicalMillis(service) : tail.millis(UNKNOWN_MILLIS);
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
    TypicalTime typical = routes.get(route);
    return typical != null && typical.millis(UNKNOWN_MILLIS) > factor * typicalMillis(service);
  }
}
