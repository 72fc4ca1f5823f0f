package org.wagtailpin.caller;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.wagtailpin.call.IncomingRequest;
import org.wagtailpin.call.Outcome;
import org.wagtailpin.call.Problem;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.customer.PresentedKey;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.transport.EndToEndHeaders;
import org.wagtailpin.transport.HttpDialect;
import org.wagtailpin.transport.WagtailpinHeaders;

/**
 * Validates request heads and converts them to {@link IncomingRequest}s. Shared by the connections
 * of a listener and used on their event loops.
 */
final class RequestHeadReader {

  private static final String VIA = "1.1 wagtailpin";
  private static final String FORWARDED_FOR = "x-forwarded-for";
  private static final String ABSOLUTE_FORM_PREFIX = "http://";
  private static final int BAD_REQUEST = 400;
  private static final int URI_TOO_LONG = 414;
  private static final int EXPECTATION_FAILED = 417;
  private static final int HEADERS_TOO_LARGE = 431;
  private static final int NOT_IMPLEMENTED = 501;
  private static final int VERSION_NOT_SUPPORTED = 505;
  private static final long INVALID_NUMBER = -1;
  private static final int MAX_DIGITS = 12;

  private final ListenerKind kind;
  private final ConfigSource config;
  private final Clock clock;
  private final RequestIdGenerator idGenerator;
  private final HttpDialect dialect;
  private volatile CallerGroups groups;

  RequestHeadReader(
      ListenerKind kind,
      ConfigSource config,
      Clock clock,
      RequestIdGenerator idGenerator,
      HttpDialect dialect) {
    this.kind = kind;
    this.config = config;
    this.clock = clock;
    this.idGenerator = idGenerator;
    this.dialect = dialect;
    this.groups = new CallerGroups(config.current());
  }

  /**
   * Reads a request head. The headers of a valid head are rewritten in place to those that are sent
   * to the backend server.
   *
   * @param head the decoded head
   * @param caller the remote address of the connection
   */
  RequestHead read(HttpRequest head, InetSocketAddress caller) {
    Optional<RequestHead> rejection = validate(head);
    if (rejection.isPresent()) {
      return rejection.get();
    }
    Optional<Target> target = Target.of(head);
    if (target.isEmpty()) {
      return invalid(BAD_REQUEST, "the request target or the Host header is not valid");
    }
    return toValidHead(head, target.get(), caller);
  }

  private static Optional<RequestHead> validate(HttpRequest head) {
    if (head.decoderResult().isFailure()) {
      return Optional.of(decodingFailure(head.decoderResult().cause()));
    }
    boolean supported =
        head.protocolVersion().equals(HttpVersion.HTTP_1_1)
            || head.protocolVersion().equals(HttpVersion.HTTP_1_0);
    if (!supported) {
      return rejection(VERSION_NOT_SUPPORTED, "the HTTP version is not 1.0 or 1.1");
    }
    if (head.method().equals(HttpMethod.CONNECT)) {
      return rejection(NOT_IMPLEMENTED, "tunnels are not offered");
    }
    String coding = head.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
    if (coding != null && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding.strip())) {
      return rejection(NOT_IMPLEMENTED, "the transfer coding is not understood");
    }
    String expectation = head.headers().get(HttpHeaderNames.EXPECT);
    if (expectation != null
        && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation.strip())) {
      return rejection(EXPECTATION_FAILED, "the expectation is not understood");
    }
    return Optional.empty();
  }

  private static RequestHead decodingFailure(Throwable cause) {
    if (cause instanceof TooLongHttpLineException) {
      return invalid(URI_TOO_LONG, "the request line is too long");
    }
    if (cause instanceof TooLongFrameException) {
      return invalid(HEADERS_TOO_LARGE, "the headers are too large");
    }
    String detail = cause.getMessage() == null ? cause.toString() : cause.getMessage();
    return invalid(BAD_REQUEST, "the request is not valid HTTP: " + detail);
  }

  private RequestHead toValidHead(HttpRequest head, Target target, InetSocketAddress caller) {
    HttpHeaders headers = head.headers();
    boolean internal = kind == ListenerKind.INTERNAL;
    long depth = internal ? parseNumber(headers, WagtailpinHeaders.DEPTH, 0) : 0;
    CharSequence timeoutName = internal ? dialect.deadline() : dialect.callerTimeout();
    long timeoutMillis = parseNumber(headers, timeoutName, Long.MAX_VALUE);
    if (depth == INVALID_NUMBER || depth > Integer.MAX_VALUE || timeoutMillis == INVALID_NUMBER) {
      return invalid(BAD_REQUEST, "a Wagtailpin header is not a number");
    }
    String id =
        dialect.callerSetsRequestId() ? headers.get(dialect.requestId()) : idGenerator.next();
    if (id == null || id.isEmpty()) {
      return invalid(BAD_REQUEST, "the request has no identifier");
    }
    String statedGroup = internal ? headers.get(WagtailpinHeaders.CALLER_GROUP) : null;
    String group = statedGroup == null ? groupOf(caller) : statedGroup;
    // Read first: a Connection header that lists the key's header has it removed.
    PresentedKey key =
        dialect
            .customerHeaders()
            .map(names -> PresentedKey.of(headers.getAll(names.key())))
            .orElse(PresentedKey.none());
    rewriteHeaders(headers, target, caller);
    return new RequestHead.Valid(
        new IncomingRequest(
            id,
            head.method().name(),
            target.host(),
            target.path(),
            target.query(),
            headers,
            group,
            (int) depth,
            timeoutMillis == Long.MAX_VALUE ? Optional.empty() : Optional.of(timeoutMillis),
            clock.exactMillis(),
            key));
  }

  private String groupOf(InetSocketAddress caller) {
    CallerGroups current = groups;
    if (!current.isBuiltFrom(config.current())) {
      current = new CallerGroups(config.current());
      groups = current;
    }
    return current.groupOf(caller);
  }

  private static void rewriteHeaders(HttpHeaders headers, Target target, InetSocketAddress caller) {
    EndToEndHeaders.retain(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    headers.remove(HttpHeaderNames.EXPECT);
    headers.set(HttpHeaderNames.HOST, target.authority());
    append(headers, HttpHeaderNames.VIA, VIA);
    append(headers, FORWARDED_FOR, caller.getAddress().getHostAddress());
  }

  private static void append(HttpHeaders headers, CharSequence name, String value) {
    List<String> present = headers.getAll(name);
    if (present.isEmpty()) {
      headers.set(name, value);
    } else {
      headers.set(name, String.join(", ", present) + ", " + value);
    }
  }

  /**
   * Returns the number in a header, {@code defaultValue} if there is no such header, or {@link
   * #INVALID_NUMBER} if its value is not a number of at most {@value #MAX_DIGITS} digits.
   */
  private static long parseNumber(HttpHeaders headers, CharSequence name, long defaultValue) {
    String value = headers.get(name);
    if (value == null) {
      return defaultValue;
    }
    boolean digits = !value.isEmpty() && value.length() <= MAX_DIGITS;
    for (int i = 0; digits && i < value.length(); i++) {
      digits = value.charAt(i) >= '0' && value.charAt(i) <= '9';
    }
    return digits ? Long.parseLong(value) : INVALID_NUMBER;
  }

  private static Optional<RequestHead> rejection(int status, String detail) {
    return Optional.of(invalid(status, detail));
  }

  private static RequestHead invalid(int status, String detail) {
    Fault fault = new Fault(Step.READ_REQUEST, Peer.CALLER, "", detail);
    return new RequestHead.Invalid(new Problem(status, Outcome.NOT_RUN, fault));
  }

  /**
   * The target of a request, taken from its request line and Host header.
   *
   * @param authority the host and port as sent, empty if an HTTP/1.0 request states none
   * @param host the host without port, in lower case
   * @param path the path, starting with a slash
   * @param query the query without the question mark
   */
  private record Target(String authority, String host, String path, Optional<String> query) {

    static Optional<Target> of(HttpRequest head) {
      List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
      // RFC 9112 section 3.2: exactly one Host header; HTTP/1.0 requests may omit it.
      boolean http11 = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
      if (hosts.size() > 1 || (hosts.isEmpty() && http11)) {
        return Optional.empty();
      }
      String uri = head.uri();
      String authority = hosts.isEmpty() ? "" : hosts.get(0);
      // RFC 9112 section 3.2.2: the host of an absolute target takes precedence over Host.
      if (uri.regionMatches(true, 0, ABSOLUTE_FORM_PREFIX, 0, ABSOLUTE_FORM_PREFIX.length())) {
        int slash = uri.indexOf('/', ABSOLUTE_FORM_PREFIX.length());
        authority = uri.substring(ABSOLUTE_FORM_PREFIX.length(), slash < 0 ? uri.length() : slash);
        uri = slash < 0 ? "/" : uri.substring(slash);
      }
      if (!uri.startsWith("/") || uri.indexOf('#') >= 0 || !isAuthority(authority)) {
        return Optional.empty();
      }
      int questionMark = uri.indexOf('?');
      String path = questionMark < 0 ? uri : uri.substring(0, questionMark);
      Optional<String> query =
          questionMark < 0 ? Optional.empty() : Optional.of(uri.substring(questionMark + 1));
      return Optional.of(new Target(authority, hostOf(authority), path, query));
    }

    private static boolean isAuthority(String authority) {
      for (int i = 0; i < authority.length(); i++) {
        char character = authority.charAt(i);
        boolean allowed =
            Character.isLetterOrDigit(character) || "-._~:[]%!$&'()*+,;=".indexOf(character) >= 0;
        if (!allowed) {
          return false;
        }
      }
      return true;
    }

    private static String hostOf(String authority) {
      int bracket = authority.indexOf(']');
      int colon = authority.indexOf(':', Math.max(0, bracket));
      String host = colon < 0 ? authority : authority.substring(0, colon);
      return host.toLowerCase(Locale.ROOT);
    }
  }
}
