package org.wagtailpin.transport;

import java.util.regex.Pattern;

/** The status codes that HTTP defines: RFC 9110 section 15 allows 100 to 599. */
public final class StatusCodes {

  private static final Pattern VALID = Pattern.compile("[1-5]\\d{2}");
  private static final int MIN_FINAL = 200;
  private static final int MAX = 599;

  private StatusCodes() {}

  /**
   * Returns whether the text of a status line's code is a status code, without sign or padding.
   *
   * @param text the text as received
   */
  public static boolean isValid(String text) {
    return VALID.matcher(text).matches();
  }

  /**
   * Returns whether a number is the status code of a final answer.
   *
   * @param code the number
   */
  public static boolean isFinal(int code) {
    return code >= MIN_FINAL && code <= MAX;
  }
}
