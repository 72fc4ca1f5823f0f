package org.wagtailpin.backend;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalDouble;
import org.wagtailpin.routing.LimitStatement;

/**
 * Parser for the header in which a backend server names how many requests a second it takes.
 *
 * <p>The value is a decimal number of at least 0; any other value states nothing. An answer of
 * another server at the address states nothing either, and an error without the header does not end
 * a limit.
 */
final class RequestLimitHeader {

  private RequestLimitHeader() {}

  /**
   * Parses the value of the header.
   *
   * @param status the status code of the answer
   * @param value the value, null if the answer lacks the header
   */
  static LimitStatement parse(int status, String value) {
    if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      return new LimitStatement.Unknown();
    }
    if (value == null) {
      return status < HttpResponseStatus.BAD_REQUEST.code()
          ? new LimitStatement.Unlimited()
          : new LimitStatement.Unknown();
    }
    OptionalDouble perSecond = DecimalHeader.parse(value);
    return perSecond.isPresent()
        ? new LimitStatement.Limited(perSecond.getAsDouble())
        : new LimitStatement.Unknown();
  }
}
