import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {

  private Http() {}

  /**
   * A message head.
   *
   * @param startLine the request line or status line
   * @param headers the header fields, each with its name in lower case and its value
   */
  record Head(String startLine, List<String[]> headers) {

    /** Returns the first value of a header, null if there is none. */
    String header(String name) {
      for (String[] header : headers) {
        if (header[0].equals(name)) {
          return header[1];
        }
      }
      return null;
    }

    /** Returns a word of the start line, counted from 0. */
    String word(int index) {
      return startLine.split(" ", 3)[index];
    }

    int status() {
      return Integer.parseInt(word(1));
    }
  }

  static InputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 16_384);
  }

  /** Reads a head; returns null if the connection ended before its first byte. */
  static Head readHead(InputStream in) throws IOException {
    String start = readLine(in, true);
    if (start == null) {
      return null;
    }
    List<String[]> headers = new ArrayList<>();
    String line = readLine(in, false);
    while (!line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.add(
          new String[] {
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip()
          });
      line = readLine(in, false);
    }
    return new Head(start, headers);
  }

  private static String readLine(InputStream in, boolean endAllowed) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0 && endAllowed) {
      return null;
    }
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException("the connection ended within a head");
      }
      line.write(next);
      next = in.read();
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  /** Reads the body of a request or of an answer that has a length or comes in chunks. */
  static byte[] readBody(InputStream in, Head head) throws IOException {
    String length = head.header("content-length");
    if (length != null) {
      byte[] body = in.readNBytes(Integer.parseInt(length));
      if (body.length < Integer.parseInt(length)) {
        throw new EOFException("the connection ended within a body");
      }
      return body;
    }
    return "chunked".equals(head.header("transfer-encoding")) ? readChunks(in) : new byte[0];
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int size = Integer.parseInt(readLine(in, false).split(";")[0].strip(), 16);
    while (size > 0) {
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size) {
        throw new EOFException("the connection ended within a chunk");
      }
      body.writeBytes(chunk);
      readLine(in, false);
      size = Integer.parseInt(readLine(in, false).split(";")[0].strip(), 16);
    }
    while (!readLine(in, false).isEmpty()) {
      // Trailers are not used.
    }
    return body.toByteArray();
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Returns an answer with a length. */
  static byte[] answer(int status, String headers, byte[] body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(
        bytes("HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length));
    out.writeBytes(bytes("\r\n\r\n"));
    out.writeBytes(body);
    return out.toByteArray();
  }
}
