package org.wagtailpin.claims;

import java.util.List;

/**
 * A complete HTTP response that is held for duplicates of the call.
 *
 * @param status the HTTP status code
 * @param headers the end-to-end headers in their original order
 * @param body the complete body; not copied
 */
@SuppressWarnings("ArrayRecordComponent") // held answers are never compared
public record HeldAnswer(int status, List<HeldHeader> headers, byte[] body) {

  /** Copies the list of headers. */
  public HeldAnswer {
    headers = List.copyOf(headers);
  }
}
