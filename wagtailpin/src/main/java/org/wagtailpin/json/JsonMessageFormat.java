package org.wagtailpin.json;

import java.util.regex.Pattern;

/** Formats JSON values for messages. */
final class JsonMessageFormat {

  private static final Pattern CONTROL_CHARACTER = Pattern.compile("\\p{Cntrl}");
  private static final int MAX_QUOTED_CHARS = 60;
  private static final double MAX_PLAIN_INTEGER = 1e15;

  private JsonMessageFormat() {}

  static String quote(String text) {
    String excerpt =
        text.length() > MAX_QUOTED_CHARS ? text.substring(0, MAX_QUOTED_CHARS) + "..." : text;
    return '"' + CONTROL_CHARACTER.matcher(excerpt).replaceAll(" ") + '"';
  }

  static String formatNumber(double value) {
    return value == Math.rint(value) && Math.abs(value) < MAX_PLAIN_INTEGER
        ? Long.toString((long) value)
        : Double.toString(value);
  }
}
