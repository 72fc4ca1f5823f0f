package org.wagtailpin.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.wagtailpin.config.ConfigServer;

/**
 * A request for one attempt on a backend server.
 *
 * @param server the server
 * @param method the HTTP method
 * @param path the path as the caller sent it, beginning with a slash
 * @param query the query as the caller sent it, without the question mark
 * @param headers the end-to-end headers, without those that frame the body
 * @param body the body
 * @param attempt the identifier of the attempt, empty for a probe
 * @param echoesAttempt whether an answer without that identifier is not the server's answer to this
 *     request
 */
public record BackendRequest(
    ConfigServer server,
    String method,
    String path,
    Optional<String> query,
    HttpHeaders headers,
    RequestBody body,
    String attempt,
    boolean echoesAttempt) {

  /**
   * Creates a probe, whose answer need not name it.
   *
   * @param server the server
   * @param method the HTTP method
   * @param path the path
   * @param headers the headers
   */
  static BackendRequest probe(
      ConfigServer server, String method, String path, HttpHeaders headers) {
    return new BackendRequest(
        server, method, path, Optional.empty(), headers, new RequestBody.None(), "", false);
  }

  /** Tells whether it is a probe. */
  boolean isProbe() {
    return attempt.isEmpty();
  }
}
