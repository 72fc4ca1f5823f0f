package org.wagtailpin.routing;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.limits.RequestPace;

/**
 * Whether a server is cold: by its registration, by its start during traffic or by its answers to
 * probes, whichever ends last. Written by one thread at a time for each source, read by all.
 */
final class ColdState {

  /** Clocks of hosts may differ by as much, so a server's age is known no better. */
  private static final long MAX_CLOCK_SKEW_MILLIS = 5_000;

  private final AtomicReference<RequestPace> pace = new AtomicReference<>();
  private final AtomicBoolean announced = new AtomicBoolean();
  private volatile Optional<Double> warmupPerSecond = Optional.empty();
  private volatile long slowStartMillis;
  private volatile long registeredUntilMillis = Long.MIN_VALUE;
  private volatile long startedUntilMillis = Long.MIN_VALUE;
  private volatile long statedUntilMillis = Long.MIN_VALUE;
  private long registeredSequence = Long.MIN_VALUE;
  private int registeredSlowStartMillis;

  /** Sets the limits of the server's service. */
  void configure(Optional<ConfigService> service) {
    warmupPerSecond = service.flatMap(ConfigService::warmupPerSecond);
    slowStartMillis = service.flatMap(ConfigService::slowStartMillis).orElse(0L);
  }

  /**
   * Takes over the remaining time that a registration states. It counts from now on, as it is not
   * known when the registration was written. The same registration counts once.
   */
  void registered(ConfigServer server, long nowMillis) {
    if (server.sequence() != registeredSequence
        || server.slowStartMillis() != registeredSlowStartMillis) {
      registeredSequence = server.sequence();
      registeredSlowStartMillis = server.slowStartMillis();
      registeredUntilMillis = nowMillis + server.slowStartMillis();
    }
  }

  /**
   * Records that the server appeared during traffic.
   *
   * @param ageMillis the time since its start by this host's wall clock, 0 if unknown
   * @param nowMillis the current time
   */
  void appeared(long ageMillis, long nowMillis) {
    long knownAgeMillis = Math.max(0, ageMillis - MAX_CLOCK_SKEW_MILLIS);
    startedUntilMillis = nowMillis + Math.max(0, slowStartMillis - knownAgeMillis);
  }

  /** Records that the server gets work again that it had been kept from. */
  void returned(long nowMillis) {
    startedUntilMillis = nowMillis + slowStartMillis;
  }

  /** Records the remaining time that an answer to a probe stated, 0 if the server is not cold. */
  void stated(long remainingMillis, long nowMillis) {
    statedUntilMillis = nowMillis + remainingMillis;
  }

  /**
   * Returns whether the server is not cold, and is not noted as such. Costs less than the other
   * methods, for services that do not limit cold servers.
   */
  boolean isSurelyWarm() {
    return warmupPerSecond.isEmpty() && !announced.get();
  }

  /** Returns the rate that the server tolerates now, empty if it is not cold. */
  Optional<Double> perSecond(long nowMillis) {
    return warmupPerSecond.filter(
        rate ->
            nowMillis < registeredUntilMillis
                || nowMillis < startedUntilMillis
                || nowMillis < statedUntilMillis);
  }

  /** Returns the pace of this entry's requests while the server is cold. */
  RequestPace pace(Supplier<RequestPace> created) {
    RequestPace known = pace.get();
    if (known != null) {
      return known;
    }
    pace.compareAndSet(null, created.get());
    return pace.get();
  }

  /** Notes whether the server is cold; returns whether that differs from what was noted before. */
  boolean changes(boolean cold) {
    return announced.get() != cold && announced.compareAndSet(!cold, cold);
  }
}
