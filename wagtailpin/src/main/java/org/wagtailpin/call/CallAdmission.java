package org.wagtailpin.call;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.customer.Identification;
import org.wagtailpin.customer.KeyRefusalReason;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.region.AllowedRegions;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.transport.WagtailpinHeaders;

/** Decision whether a request is admitted as a call, made on its head alone. */
public sealed interface CallAdmission {

  /** Maximum nesting depth of calls; breaks loops between services. */
  int MAX_DEPTH = 9;

  /** Status for a call that is nested too deep, RFC 5842 section 7.2. */
  HttpResponseStatus LOOP_DETECTED = new HttpResponseStatus(508, "Loop Detected");

  /** Low bits of a 64-bit hash that do not fit into the 53-bit significand of a double. */
  int DISCARDED_HASH_BITS = 11;

  /** Factor that maps a 53-bit hash to the range from 0 (inclusive) to 1 (exclusive). */
  double HASH_SCALE = 0x1.0p-53;

  /** Maximum length of an idempotency key, in characters. */
  int MAX_KEY_LENGTH = 255;

  /**
   * The request is admitted.
   *
   * @param descriptor the properties of the call that placement and retries depend on
   * @param service the service to which the route leads
   * @param key the idempotency key to claim, empty if the work is not claimed
   * @param snapshotVersion the version of the configuration snapshot that was applied
   */
  record Admitted(
      CallDescriptor descriptor, ConfigService service, Optional<String> key, long snapshotVersion)
      implements CallAdmission {}

  /**
   * The request is refused and was not run.
   *
   * @param problem the answer to send
   * @param key why the customer's key is refused, empty if the refusal has another reason
   */
  record Refused(Problem problem, Optional<KeyRefusalReason> key) implements CallAdmission {
    /** Creates a refusal that does not concern a customer's key. */
    public Refused(Problem problem) {
      this(problem, Optional.empty());
    }
  }

  /**
   * Selects the route and service of a request and checks its depth, timeout and idempotency key.
   *
   * @param snapshot the configuration in force
   * @param request the head of the request
   * @param clock the clock from which the call's deadline is computed
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
    Identification identification =
        Identification.of(snapshot.customers(), route.get(), request.key());
    if (identification instanceof Identification.Refused unidentified) {
      Fault fault = new Fault(Step.IDENTIFY, Peer.CALLER, "", unidentified.reason().detail());
      Problem problem = new Problem(CallProblems.UNAUTHORIZED, Outcome.NOT_RUN, fault);
      return new Refused(problem, Optional.of(unidentified.reason()));
    }
    return admit(
        snapshot.version(),
        route.get(),
        service.get(),
        request,
        ((Identification.Accepted) identification).customer(),
        clock);
  }

  /**
   * Maps a request identifier to a point from 0 to less than 1, which selects a service where the
   * route splits its traffic. The points are evenly distributed, and all entries compute the same
   * point for an identifier.
   */
  private static double splitPoint(String requestId) {
    long hash = Hashing.komihash5_0().hashCharsToLong(requestId);
    return (hash >>> DISCARDED_HASH_BITS) * HASH_SCALE;
  }

  private static CallAdmission admit(
      long snapshotVersion,
      ConfigRoute route,
      ConfigService service,
      IncomingRequest request,
      Optional<ConfigCustomer> customer,
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
            clock.millis() + callTimeoutMillis,
            customer,
            regions(route, customer));
    return new Admitted(descriptor, service, key, snapshotVersion);
  }

  private static AllowedRegions regions(ConfigRoute route, Optional<ConfigCustomer> customer) {
    AllowedRegions ofRoute = AllowedRegions.ofList(route.allowedRegions());
    return customer
        .map(owner -> ofRoute.and(AllowedRegions.ofList(owner.allowedRegions())))
        .orElse(ofRoute);
  }

  private static Refused refused(HttpResponseStatus status, Step step, String detail) {
    Fault fault = new Fault(step, Peer.SELF, "", detail);
    return new Refused(new Problem(status.code(), Outcome.NOT_RUN, fault));
  }
}
