package org.wagtailpin.json;

import java.util.regex.Pattern;

/** Wording shared by the messages about JSON. */
final class JsonWords {

  private static final Pattern CONTROL = Pattern.compile("\\p{Cntrl}");
  private static final int MAX_QUOTED_CHARS = 60;
  private static final double MAX_WHOLE = 1e15;

  private JsonWords() {}

  static String quote(String text) {
    String shown =
        text.length() > MAX_QUOTED_CHARS ? text.substring(0, MAX_QUOTED_CHARS) + "..." : text;
    return '"' + CONTROL.matcher(shown).replaceAll(" ") + '"';
  }

  static String plain(double value) {
    return value == Math.rint(value) && Math.abs(value) < MAX_WHOLE
        ? Long.toString((long) value)
        : Double.toString(value);
  }
}
