package org.wagtailpin.call;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.wagtailpin.backend.BackendRequest;
import org.wagtailpin.backend.RequestBody;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.transport.WagtailpinHeaders;

/** Maker of the requests that a call's attempts send. */
final class AttemptRequests {

  private final IncomingRequest request;
  private final ConfigService service;
  private final RequestBody body;

  AttemptRequests(IncomingRequest request, ConfigService service, RequestBody body) {
    this.request = request;
    this.service = service;
    this.body = body;
  }

  RequestBody body() {
    return body;
  }

  /**
   * Makes the request of an attempt.
   *
   * @param server the server to send it to
   * @param number the number of the attempt, from 1
   * @param remainingMillis the time left for the answer, in milliseconds
   */
  BackendRequest next(ConfigServer server, int number, long remainingMillis) {
    String attempt = request.id() + "." + number;
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    headers.set(WagtailpinHeaders.REQUEST_ID, request.id());
    headers.set(WagtailpinHeaders.ATTEMPT, attempt);
    headers.set(WagtailpinHeaders.DEADLINE_MILLIS, Long.toString(Math.max(1, remainingMillis)));
    headers.set(WagtailpinHeaders.DEPTH, Integer.toString(request.depth() + 1));
    if (!request.callerGroup().isEmpty()) {
      headers.set(WagtailpinHeaders.CALLER_GROUP, request.callerGroup());
    }
    return new BackendRequest(
        server,
        request.method(),
        request.path(),
        request.query(),
        headers,
        body,
        attempt,
        service.echoesAttempt());
  }
}
