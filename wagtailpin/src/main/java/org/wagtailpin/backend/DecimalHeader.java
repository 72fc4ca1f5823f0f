package org.wagtailpin.backend;

import java.util.OptionalDouble;

/** Parser for headers whose value is a decimal number of at least 0, without sign or exponent. */
final class DecimalHeader {

  private static final int MAX_LENGTH = 32;

  private DecimalHeader() {}

  /** Returns the number, empty if the value is anything else. */
  static OptionalDouble parse(String value) {
    String number = value.strip();
    if (number.isEmpty() || number.length() > MAX_LENGTH) {
      return OptionalDouble.empty();
    }
    for (int i = 0; i < number.length(); i++) {
      char c = number.charAt(i);
      if (c != '.' && (c < '0' || c > '9')) {
        return OptionalDouble.empty();
      }
    }
    try {
      return OptionalDouble.of(Double.parseDouble(number));
    } catch (NumberFormatException e) {
      return OptionalDouble.empty();
    }
  }
}
