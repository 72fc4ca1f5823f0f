package org.wagtailpin.json;

import java.math.BigDecimal;
import java.util.Optional;
import java.util.regex.Pattern;

/** Formats of names and numbers, and the texts of problems about them. */
final class ValueFormats {

  static final String NAME_EXPECTED =
      "a name of 1 to 128 letters, digits, dots, hyphens and underscores";

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

  private ValueFormats() {}

  static boolean isName(String text) {
    return NAME.matcher(text).matches();
  }

  /** Returns the value of a whole number that fits into a long, empty for any other value. */
  static Optional<Long> exactLong(JsonValue value) {
    return value instanceof JsonValue.NumberValue number
        ? exactLong(number.value())
        : Optional.empty();
  }

  private static Optional<Long> exactLong(BigDecimal value) {
    try {
      return Optional.of(value.longValueExact());
    } catch (ArithmeticException e) {
      return Optional.empty();
    }
  }

  static String describeRange(long min, long max) {
    return "a whole number from " + min + " to " + max;
  }

  static String describeRange(double min, double max) {
    return "a number from "
        + JsonMessageFormat.formatNumber(min)
        + " to "
        + JsonMessageFormat.formatNumber(max);
  }
}
