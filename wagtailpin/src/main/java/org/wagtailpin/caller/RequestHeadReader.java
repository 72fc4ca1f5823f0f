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
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.transport.EndToEndHeaders;
import org.wagtailpin.transport.HttpDialect;
import org.wagtailpin.transport.WagtailpinHeaders;

/** Reader of request heads: checks them and takes from them what a call needs. */
final class RequestHeadReader {

  private static final String VIA = "1.1 wagtailpin";
  private static final String FORWARDED_FOR = "x-forwarded-for";
  private static final String ABSOLUTE = "http://";
  private static final int BAD_REQUEST = 400;
  private static final int URI_TOO_LONG = 414;
  private static final int EXPECTATION_FAILED = 417;
  private static final int HEADERS_TOO_LARGE = 431;
  private static final int NOT_IMPLEMENTED = 501;
  private static final int VERSION_NOT_SUPPORTED = 505;
  private static final long NO_NUMBER = -1;
  private static final int MAX_DIGITS = 12;

  private final ListenerKind kind;
  private final ConfigSource config;
  private final Clock clock;
  private final RequestIds ids;
  private final HttpDialect dialect;
  private volatile CallerGroups groups;

  RequestHeadReader(
      ListenerKind kind, ConfigSource config, Clock clock, RequestIds ids, HttpDialect dialect) {
    this.kind = kind;
    this.config = config;
    this.clock = clock;
    this.ids = ids;
    this.dialect = dialect;
    this.groups = new CallerGroups(config.current());
  }

  /**
   * Reads a head. Its headers are changed in place to those for the backend server.
   *
   * @param head the head as decoded
   * @param caller the address of the caller
   */
  RequestHead read(HttpRequest head, InetSocketAddress caller) {
    Optional<RequestHead> objection = objectionTo(head);
    if (objection.isPresent()) {
      return objection.get();
    }
    Optional<Target> target = Target.of(head);
    if (target.isEmpty()) {
      return unsound(BAD_REQUEST, "the request target or the Host header is not valid");
    }
    return trusted(head, target.get(), caller);
  }

  private static Optional<RequestHead> objectionTo(HttpRequest head) {
    if (head.decoderResult().isFailure()) {
      return Optional.of(undecodable(head.decoderResult().cause()));
    }
    boolean known =
        head.protocolVersion().equals(HttpVersion.HTTP_1_1)
            || head.protocolVersion().equals(HttpVersion.HTTP_1_0);
    if (!known) {
      return objection(VERSION_NOT_SUPPORTED, "the HTTP version is not 1.0 or 1.1");
    }
    if (head.method().equals(HttpMethod.CONNECT)) {
      return objection(NOT_IMPLEMENTED, "tunnels are not offered");
    }
    String coding = head.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
    if (coding != null && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding.strip())) {
      return objection(NOT_IMPLEMENTED, "the transfer coding is not understood");
    }
    String expectation = head.headers().get(HttpHeaderNames.EXPECT);
    if (expectation != null
        && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation.strip())) {
      return objection(EXPECTATION_FAILED, "the expectation is not understood");
    }
    return Optional.empty();
  }

  private static RequestHead undecodable(Throwable cause) {
    if (cause instanceof TooLongHttpLineException) {
      return unsound(URI_TOO_LONG, "the request line is too long");
    }
    if (cause instanceof TooLongFrameException) {
      return unsound(HEADERS_TOO_LARGE, "the headers are too large");
    }
    String detail = cause.getMessage() == null ? cause.toString() : cause.getMessage();
    return unsound(BAD_REQUEST, "the request is not valid HTTP: " + detail);
  }

  private RequestHead trusted(HttpRequest head, Target target, InetSocketAddress caller) {
    HttpHeaders headers = head.headers();
    boolean internal = kind == ListenerKind.INTERNAL;
    long depth = internal ? number(headers, WagtailpinHeaders.DEPTH, 0) : 0;
    CharSequence timeoutName = internal ? dialect.deadline() : dialect.callerTimeout();
    long timeoutMillis = number(headers, timeoutName, Long.MAX_VALUE);
    if (depth == NO_NUMBER || depth > Integer.MAX_VALUE || timeoutMillis == NO_NUMBER) {
      return unsound(BAD_REQUEST, "a Wagtailpin header is not a number");
    }
    String id = dialect.callerNamesCalls() ? headers.get(dialect.requestId()) : ids.next();
    if (id == null || id.isEmpty()) {
      return unsound(BAD_REQUEST, "the request has no identifier");
    }
    String named = internal ? headers.get(WagtailpinHeaders.CALLER_GROUP) : null;
    String group = named == null ? groupOf(caller) : named;
    prepare(headers, target, caller);
    return new RequestHead.Sound(
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
            clock.exactMillis()));
  }

  private String groupOf(InetSocketAddress caller) {
    CallerGroups current = groups;
    if (!current.isOf(config.current())) {
      current = new CallerGroups(config.current());
      groups = current;
    }
    return current.groupOf(caller);
  }

  private static void prepare(HttpHeaders headers, Target target, InetSocketAddress caller) {
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

  /** Returns a header's number, or {@link #NO_NUMBER} if its value is none. */
  private static long number(HttpHeaders headers, CharSequence name, long absent) {
    String value = headers.get(name);
    if (value == null) {
      return absent;
    }
    boolean digits = !value.isEmpty() && value.length() <= MAX_DIGITS;
    for (int i = 0; digits && i < value.length(); i++) {
      digits = value.charAt(i) >= '0' && value.charAt(i) <= '9';
    }
    return digits ? Long.parseLong(value) : NO_NUMBER;
  }

  private static Optional<RequestHead> objection(int status, String detail) {
    return Optional.of(unsound(status, detail));
  }

  private static RequestHead unsound(int status, String detail) {
    Fault fault = new Fault(Step.READ_REQUEST, Peer.CALLER, "", detail);
    return new RequestHead.Unsound(new Problem(status, Outcome.NOT_RUN, fault));
  }

  /**
   * Where a request is directed to.
   *
   * @param authority the host and port as sent
   * @param host the host in lower case
   * @param path the path
   * @param query the query
   */
  private record Target(String authority, String host, String path, Optional<String> query) {

    static Optional<Target> of(HttpRequest head) {
      List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
      // RFC 9112 section 3.2: exactly one Host header, but for HTTP/1.0.
      boolean current = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
      if (hosts.size() > 1 || (hosts.isEmpty() && current)) {
        return Optional.empty();
      }
      String uri = head.uri();
      String authority = hosts.isEmpty() ? "" : hosts.get(0);
      // RFC 9112 section 3.2.2: the host of an absolute target goes before the Host header.
      if (uri.regionMatches(true, 0, ABSOLUTE, 0, ABSOLUTE.length())) {
        int slash = uri.indexOf('/', ABSOLUTE.length());
        authority = uri.substring(ABSOLUTE.length(), slash < 0 ? uri.length() : slash);
        uri = slash < 0 ? "/" : uri.substring(slash);
      }
      if (!uri.startsWith("/") || uri.indexOf('#') >= 0 || !isAuthority(authority)) {
        return Optional.empty();
      }
      int mark = uri.indexOf('?');
      String path = mark < 0 ? uri : uri.substring(0, mark);
      Optional<String> query = mark < 0 ? Optional.empty() : Optional.of(uri.substring(mark + 1));
      return Optional.of(new Target(authority, hostOf(authority), path, query));
    }

    private static boolean isAuthority(String authority) {
      for (int i = 0; i < authority.length(); i++) {
        char current = authority.charAt(i);
        boolean allowed =
            Character.isLetterOrDigit(current) || "-._~:[]%!$&'()*+,;=".indexOf(current) >= 0;
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
