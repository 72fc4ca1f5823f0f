package org.wagtailpin.call;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.wagtailpin.backend.BackendRequest;
import org.wagtailpin.backend.RequestBody;
import org.wagtailpin.backend.SentConnections;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.error.Fault;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.transport.HttpDialect;
import org.wagtailpin.transport.WagtailpinHeaders;

/** Creates the backend request of each attempt of a call. */
final class AttemptRequestFactory {

  private final IncomingRequest request;
  private final ConfigService service;
  private final RequestBody body;
  private final HttpDialect dialect;
  private final CustomerCheck customerCheck;
  private final SentConnections sentOn;

  AttemptRequestFactory(
      CallEnvironment environment,
      IncomingRequest request,
      CallDescriptor call,
      ConfigService service,
      RequestBody body) {
    this.customerCheck = new CustomerCheck(environment, call, request);
    this.request = request;
    this.service = service;
    this.body = body;
    this.dialect = environment.dialect();
    this.sentOn = new SentConnections(request.id());
  }

  RequestBody body() {
    return body;
  }

  /** Returns why an attempt must not be sent now, empty if it may be. */
  Optional<Fault> refusal() {
    return customerCheck.refusal();
  }

  /**
   * Creates the request of an attempt.
   *
   * @param server the server to send it to
   * @param number the number of the attempt, starting at 1
   * @param remainingMillis the time until the call's deadline, in milliseconds; sent as at least 1
   */
  BackendRequest create(ConfigServer server, int number, long remainingMillis) {
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    headers.set(dialect.requestId(), request.id());
    headers.set(dialect.deadline(), Long.toString(Math.max(1, remainingMillis)));
    String attempt = request.id();
    SentConnections carriers = sentOn;
    if (dialect.attempt().isPresent()) {
      attempt = request.id() + "." + number;
      carriers = new SentConnections(attempt);
      headers.set(dialect.attempt().get(), attempt);
      addOrigin(headers);
    }
    customerCheck.rewrite(headers);
    dialect.target().ifPresent(name -> headers.set(name, server.name()));
    return new BackendRequest(
        server,
        request.method(),
        request.path(),
        request.query(),
        headers,
        body,
        attempt,
        service.echoesAttempt(),
        carriers);
  }

  private void addOrigin(HttpHeaders headers) {
    headers.set(WagtailpinHeaders.DEPTH, Integer.toString(request.depth() + 1));
    if (!request.callerGroup().isEmpty()) {
      headers.set(WagtailpinHeaders.CALLER_GROUP, request.callerGroup());
    }
  }
}
