package org.wagtailpin.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.wagtailpin.customer.PresentedKey;

/**
 * The head of a caller's request, as validated by the listener.
 *
 * @param id the identifier of the call
 * @param method the HTTP method
 * @param host the host name without port, in lower case, empty if there is none
 * @param path the path as sent, starting with a slash
 * @param query the query as sent, without the question mark
 * @param headers the end-to-end headers to send to the backend server
 * @param callerGroup the name of the caller's group, empty if it is in none
 * @param depth the number of enclosing calls, at least 0
 * @param timeoutMillis the caller's timeout in milliseconds, empty if it states none
 * @param arrivedMillis when the head arrived, by {@link org.wagtailpin.clock.Clock#exactMillis()}
 * @param key the customer's key that the request carries
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
    double arrivedMillis,
    PresentedKey key) {}
