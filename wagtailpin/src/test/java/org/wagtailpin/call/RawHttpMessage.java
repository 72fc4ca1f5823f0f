package org.wagtailpin.call;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** An HTTP/1.1 message as read from a raw socket. */
@SuppressWarnings("ArrayRecordComponent") // messages are never compared
public record RawHttpMessage(String startLine, String head, byte[] body) {

  /** Reads one message; {@link EOFException} if the connection ends before it does. */
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
      // Trailer fields are passed over.
    }
    return whole.toByteArray();
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("body ended after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException("connection ended within a head");
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

  /** Returns a header's value, empty if it is absent. */
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

  /** Joins lines as HTTP ends them. */
  public static String lines(String... lines) {
    return String.join("\r\n", lines);
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
