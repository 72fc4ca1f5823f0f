package org.wagtailpin.backend;

import org.wagtailpin.routing.LimitStatement;

/**
 * Parser for the header in which a backend server names how many requests a second it takes.
 *
 * <p>The value is a decimal number of at least 0. A value that is none states nothing.
 */
final class RequestLimitHeader {

  private static final int MAX_LENGTH = 32;

  private RequestLimitHeader() {}

  /**
   * Parses the value of the header.
   *
   * @param value the value, null if the answer lacks the header
   * @return {@code Unlimited} without the header, {@code Unknown} if the value is not valid
   */
  static LimitStatement parse(String value) {
    if (value == null) {
      return new LimitStatement.Unlimited();
    }
    String number = value.strip();
    if (number.isEmpty() || number.length() > MAX_LENGTH) {
      return new LimitStatement.Unknown();
    }
    for (int i = 0; i < number.length(); i++) {
      char c = number.charAt(i);
      if (c != '.' && (c < '0' || c > '9')) {
        return new LimitStatement.Unknown();
      }
    }
    try {
      return new LimitStatement.Limited(Double.parseDouble(number));
    } catch (NumberFormatException e) {
      return new LimitStatement.Unknown();
    }
  }
}
