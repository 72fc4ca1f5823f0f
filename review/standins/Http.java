package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages that have a length or chunks. */
final class Http {

  /** A message; header names are in lower case. */
  record Message(String line, Map<String, String> headers, byte[] body) {

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }

    String path() {
      return line.split(" ")[1];
    }
  }

  private Http() {}

  static Message read(InputStream in) throws IOException {
    String line = line(in);
    Map<String, String> headers = new TreeMap<>();
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
    }
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      return new Message(line, headers, chunks(in));
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    return new Message(line, headers, bytes(in, length));
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int length = Integer.parseInt(line(in).split(";")[0].strip(), 16);
    while (length > 0) {
      body.write(bytes(in, length));
      line(in);
      length = Integer.parseInt(line(in).split(";")[0].strip(), 16);
    }
    while (!line(in).isEmpty()) {
      // Trailers are ignored.
    }
    return body.toByteArray();
  }

  private static byte[] bytes(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the message ended early");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
