package org.wagtailpin.call;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.transport.WagtailpinHeaders;

/** Whether a request can become a call, by its head alone. */
public sealed interface CallAdmission {

  /** The greatest number of calls that lead to one. */
  int MAX_DEPTH = 9;

  /** Answer to a call that is nested too deep, RFC 5842 section 7.2. */
  HttpResponseStatus LOOP_DETECTED = new HttpResponseStatus(508, "Loop Detected");

  /** Bits of a hash that a double can't hold. */
  int DISCARDED_HASH_BITS = 11;

  /** The step between neighbouring points, two to the power of -53. */
  double HASH_SCALE = 0x1.0p-53;

  /** The greatest length of an idempotency key, in characters. */
  int MAX_KEY_LENGTH = 255;

  /**
   * The request can become a call.
   *
   * @param descriptor what placement needs to know
   * @param service the service
   * @param key the idempotency key to claim, empty if the work is not claimed
   * @param snapshotVersion the number of the snapshot of the configuration that decided
   */
  record Admitted(
      CallDescriptor descriptor, ConfigService service, Optional<String> key, long snapshotVersion)
      implements CallAdmission {}

  /**
   * The request is refused; it was not run.
   *
   * @param problem the answer
   */
  record Refused(Problem problem) implements CallAdmission {}

  /**
   * Finds the route of a request and checks its head.
   *
   * @param snapshot the configuration in force
   * @param request the request
   * @param clock the clock
   */
  static CallAdmission of(ConfigSnapshot snapshot, IncomingRequest request, Clock clock) {
    if (request.depth() > MAX_DEPTH) {
      return refused(LOOP_DETECTED, Step.ADMIT, "the call is nested deeper than " + MAX_DEPTH);
    }
    if (request.timeoutMillis().orElse(1L) < 1) {
      return refused(HttpResponseStatus.GATEWAY_TIMEOUT, Step.ADMIT, "the deadline has passed");
    }
    Optional<ConfigRoute> matched =
        snapshot.route(request.host(), request.path(), request.method());
    if (matched.isEmpty() && snapshot.routes().isEmpty()) {
      return refused(
          HttpResponseStatus.SERVICE_UNAVAILABLE, Step.MATCH_ROUTE, "no configuration is known");
    }
    Optional<ConfigRoute> route =
        matched.map(found -> found.selectService(splitPoint(request.id())));
    if (route.isEmpty()) {
      return refused(
          HttpResponseStatus.NOT_FOUND, Step.MATCH_ROUTE, "no route matches the request");
    }
    Optional<ConfigService> service = snapshot.service(route.get().service());
    if (service.isEmpty()) {
      return refused(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          Step.MATCH_ROUTE,
          "service " + route.get().service() + " is unknown");
    }
    return admit(snapshot.version(), route.get(), service.get(), request, clock);
  }

  /** Spreads identifiers evenly over 0 to 1, the same way on all entries. */
  private static double splitPoint(String requestId) {
    long hash = Hashing.komihash5_0().hashCharsToLong(requestId);
    return (hash >>> DISCARDED_HASH_BITS) * HASH_SCALE;
  }

  private static CallAdmission admit(
      long snapshotVersion,
      ConfigRoute route,
      ConfigService service,
      IncomingRequest request,
      Clock clock) {
    Optional<String> key =
        Optional.ofNullable(request.headers().get(WagtailpinHeaders.IDEMPOTENCY_KEY));
    if (route.keyRule() == IdempotencyKeyRule.REQUIRED && key.isEmpty()) {
      return refused(
          HttpResponseStatus.BAD_REQUEST, Step.CLAIM_KEY, "the route requires an Idempotency-Key");
    }
    if (route.keyRule() == IdempotencyKeyRule.IGNORED) {
      key = Optional.empty();
    }
    if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_LENGTH)) {
      return refused(
          HttpResponseStatus.BAD_REQUEST,
          Step.CLAIM_KEY,
          "an Idempotency-Key has 1 to " + MAX_KEY_LENGTH + " characters");
    }
    long callTimeoutMillis =
        Math.min(route.deadlineMillis(), request.timeoutMillis().orElse(Long.MAX_VALUE));
    CallDescriptor descriptor =
        new CallDescriptor(
            request.id(),
            route,
            key.isEmpty() && route.mayRepeat(request.method()),
            request.callerGroup(),
            request.depth(),
            clock.millis() + callTimeoutMillis);
    return new Admitted(descriptor, service, key, snapshotVersion);
  }

  private static Refused refused(HttpResponseStatus status, Step step, String detail) {
    Fault fault = new Fault(step, Peer.SELF, "", detail);
    return new Refused(new Problem(status.code(), Outcome.NOT_RUN, fault));
  }
}
