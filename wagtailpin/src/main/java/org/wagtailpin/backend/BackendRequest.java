package org.wagtailpin.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.wagtailpin.config.ConfigServer;

/**
 * A request for one attempt on a backend server.
 *
 * @param server the server
 * @param method the HTTP method
 * @param path the path as the caller sent it, starting with a slash
 * @param query the query as the caller sent it, without the question mark
 * @param headers the end-to-end headers, without those that frame the body
 * @param body the body
 * @param attempt the identifier of the attempt, empty for a probe
 * @param echoesAttempt whether the server repeats that identifier in its answers, so that an answer
 *     without it is rejected
 * @param sentOn the connections that carried the identifier of the attempt, which the request must
 *     not use; the one that it uses is added
 */
public record BackendRequest(
    ConfigServer server,
    String method,
    String path,
    Optional<String> query,
    HttpHeaders headers,
    RequestBody body,
    String attempt,
    boolean echoesAttempt,
    SentConnections sentOn) {

  /**
   * Creates a probe. It has no body and no attempt identifier, and its answer must not bear one.
   *
   * @param server the server to probe
   * @param method the HTTP method
   * @param path the path, starting with a slash
   * @param headers the headers to send
   */
  static BackendRequest probe(
      ConfigServer server, String method, String path, HttpHeaders headers) {
    return new BackendRequest(
        server,
        method,
        path,
        Optional.empty(),
        headers,
        new RequestBody.None(),
        "",
        false,
        new SentConnections(""));
  }

  /** Returns whether the request is a probe. */
  boolean isProbe() {
    return attempt.isEmpty();
  }
}
