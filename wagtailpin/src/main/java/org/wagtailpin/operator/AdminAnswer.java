package org.wagtailpin.operator;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * The HTTP response of an admin page.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the body
 * @param body the bytes of the body, not copied
 */
@SuppressWarnings("ArrayRecordComponent") // answers are never compared for equality
public record AdminAnswer(int status, String contentType, byte[] body) {

  private static final int OK = 200;
  private static final String TEXT_MEDIA_TYPE = "text/plain; charset=utf-8";
  private static final String JSON_MEDIA_TYPE = "application/json";

  /**
   * Creates a plain-text answer in UTF-8.
   *
   * @param status the HTTP status code
   * @param text the body
   */
  public static AdminAnswer text(int status, String text) {
    return new AdminAnswer(status, TEXT_MEDIA_TYPE, text.getBytes(UTF_8));
  }

  /**
   * Creates a JSON answer with status 200.
   *
   * @param json the JSON text in UTF-8
   */
  public static AdminAnswer json(byte[] json) {
    return new AdminAnswer(OK, JSON_MEDIA_TYPE, json);
  }
}
