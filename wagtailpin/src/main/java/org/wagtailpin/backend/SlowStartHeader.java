package org.wagtailpin.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.AsciiString;
import java.util.Optional;
import org.wagtailpin.config.ConfigServer;

/**
 * Parser for the header in which a server states for how many milliseconds it is cold. The value is
 * a whole number; an absent one means that the server is not cold, and any other states nothing.
 */
final class SlowStartHeader {

  private static final int MAX_DIGITS = 9;

  private SlowStartHeader() {}

  /**
   * Returns for how long a server is cold, 0 if it is not.
   *
   * @param status the status code of the answer; an error without the header states nothing
   * @param headers the headers of an answer to a probe
   * @param name the name of the header, empty if servers do not send it
   */
  static Optional<Long> read(int status, HttpHeaders headers, Optional<AsciiString> name) {
    if (name.isEmpty()) {
      return Optional.empty();
    }
    String value = headers.get(name.get());
    if (value == null) {
      return status < HttpResponseStatus.BAD_REQUEST.code() ? Optional.of(0L) : Optional.empty();
    }
    String digits = value.strip();
    if (!digits.matches("[0-9]{1," + MAX_DIGITS + "}")) {
      return Optional.empty();
    }
    return Optional.of(Math.min(ConfigServer.MAX_SLOW_START_MILLIS, Long.parseLong(digits)));
  }
}
