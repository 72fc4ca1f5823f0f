package org.wagtailpin.call;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * An HTTP/1.1 message as read from a raw socket.
 *
 * @param startLine the request or status line
 * @param head the header lines, each ended by a line feed
 * @param body the decoded body
 */
@SuppressWarnings("ArrayRecordComponent") // messages are never compared
public record RawHttpMessage(String startLine, String head, byte[] body) {

  /**
   * Reads one message.
   *
   * @throws EOFException if the connection ends before the message is complete
   */
  public static RawHttpMessage read(InputStream in) throws IOException {
    return read(in, false);
  }

  public static RawHttpMessage readAnswerToHead(InputStream in) throws IOException {
    return read(in, true);
  }

  private static RawHttpMessage read(InputStream in, boolean bodyless) throws IOException {
    String startLine = readLine(in);
    StringBuilder head = new StringBuilder();
    String line = readLine(in);
    while (!line.isEmpty()) {
      head.append(line).append('\n');
      line = readLine(in);
    }
    RawHttpMessage message = new RawHttpMessage(startLine, head.toString(), new byte[0]);
    return bodyless ? message : new RawHttpMessage(startLine, message.head, message.readBody(in));
  }

  private byte[] readBody(InputStream in) throws IOException {
    if (header("transfer-encoding").equals("chunked")) {
      return readChunks(in);
    }
    String length = header("content-length");
    return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    int size = Integer.parseInt(readLine(in), 16);
    while (size > 0) {
      whole.write(readExactly(in, size));
      readLine(in);
      size = Integer.parseInt(readLine(in), 16);
    }
    while (!readLine(in).isEmpty()) {
      // Trailer fields are ignored.
    }
    return whole.toByteArray();
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException(
          "connection closed after " + bytes.length + " of " + length + " body bytes");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException("connection closed within a message head");
      }
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  public int status() {
    return Integer.parseInt(startLine.split(" ", -1)[1]);
  }

  /** Returns the value of the first header with a name in lower case, empty if there is none. */
  public String header(String name) {
    for (String line : head.split("\n", -1)) {
      int colon = line.indexOf(':');
      if (colon > 0 && line.substring(0, colon).toLowerCase(Locale.ROOT).equals(name)) {
        return line.substring(colon + 1).strip();
      }
    }
    return "";
  }

  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Joins lines with CRLF; the last line gets no line end. */
  public static String lines(String... lines) {
    return String.join("\r\n", lines);
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
