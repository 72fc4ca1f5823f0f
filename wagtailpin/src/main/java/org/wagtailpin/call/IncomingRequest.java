package org.wagtailpin.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * The head of a caller's request.
 *
 * @param id the identifier of the call
 * @param method the HTTP method
 * @param host the host name without port, in lower case, empty if there is none
 * @param path the path as sent, beginning with a slash
 * @param query the query as sent, without the question mark
 * @param headers the end-to-end headers for the backend server
 * @param callerGroup the name of the caller's group
 * @param depth how many calls lead to this one, at least 0
 * @param timeoutMillis how long the caller waits, in milliseconds, if it says so
 * @param arrivedMillis when the head arrived, by {@link org.wagtailpin.clock.Clock#exactMillis()}
 */
public record IncomingRequest(
    String id,
    String method,
    String host,
    String path,
    Optional<String> query,
    HttpHeaders headers,
    String callerGroup,
    int depth,
    Optional<Long> timeoutMillis,
    double arrivedMillis) {}
