package org.wagtailpin.transport;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decoder of responses to which a response without a valid status code is malformed. Netty's own
 * accepts any integer, also with a sign or more than three digits.
 */
public class ValidStatusDecoder extends HttpResponseDecoder {

  /**
   * Creates a decoder.
   *
   * @param config the size limits of a status line and a head
   */
  public ValidStatusDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    if (!StatusCodes.isValid(statusLine[1])) {
      throw new IllegalArgumentException("malformed status line");
    }
    return super.createMessage(statusLine);
  }
}
