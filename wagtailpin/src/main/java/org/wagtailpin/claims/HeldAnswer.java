package org.wagtailpin.claims;

import java.util.List;

/**
 * A whole answer that is kept for callers who ask again.
 *
 * @param status the HTTP status code
 * @param headers the end-to-end headers in their order
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent") // answers are never compared
public record HeldAnswer(int status, List<HeldHeader> headers, byte[] body) {

  /** Copies the list. */
  public HeldAnswer {
    headers = List.copyOf(headers);
  }
}
