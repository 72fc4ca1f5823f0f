package org.wagtailpin.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.OptionalDouble;
import org.wagtailpin.routing.ServerNotice;
import org.wagtailpin.transport.HttpDialect;

/**
 * Parser for the headers in which a backend server states that it is leaving, or that it wants no
 * requests for a time.
 *
 * <p>Leaving is stated by the value 1 only. A pause is stated by status 503 with a number of
 * seconds, at least 0 and with or without a fraction; one that is longer than {@value
 * #MAX_PAUSE_MILLIS} ms counts as that long. A date, a sign, any other text and a repeated header
 * state nothing, and neither does an answer of another server at the address.
 */
final class ServerNoticeHeaders {

  /** Longer pauses are taken for a mistake, after which the server is tried again. */
  static final long MAX_PAUSE_MILLIS = 300_000;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final String IS_LEAVING = "1";

  private ServerNoticeHeaders() {}

  /**
   * Parses the headers of an answer.
   *
   * @param server the name of the server that the request was sent to
   * @param status the status code of the answer
   * @param headers its headers
   * @param dialect the names of the headers
   */
  static ServerNotice parse(String server, int status, HttpHeaders headers, HttpDialect dialect) {
    String instance = dialect.instance().map(headers::get).orElse(null);
    boolean otherServer = instance != null && !instance.equals(server);
    if (otherServer || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      return ServerNotice.none();
    }
    boolean leaving =
        dialect
            .serverLeaving()
            .map(headers::get)
            .map(value -> value.strip().equals(IS_LEAVING))
            .orElse(false);
    double pauseMillis =
        status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
            ? dialect.serverPause().map(headers::getAll).map(ServerNoticeHeaders::pause).orElse(0.0)
            : 0;
    return new ServerNotice(leaving, pauseMillis);
  }

  private static double pause(List<String> values) {
    OptionalDouble seconds =
        values.size() == 1 ? DecimalHeader.parse(values.get(0)) : OptionalDouble.empty();
    return Math.min(MAX_PAUSE_MILLIS, seconds.orElse(0) * MILLIS_PER_SECOND);
  }
}
