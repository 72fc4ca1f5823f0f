package org.wagtailpin.transport;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reduces the headers of a message to the end-to-end headers that an intermediary may forward. */
public final class EndToEndHeaders {

  // RFC 9110 section 7.6.1: must be removed even if the Connection header does not list them.
  private static final List<AsciiString> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          AsciiString.cached("proxy-authentication-info"),
          HttpHeaderNames.PROXY_AUTHENTICATE,
          AsciiString.cached("proxy-connection"),
          AsciiString.cached("keep-alive"));

  private EndToEndHeaders() {}

  /**
   * Removes the hop-by-hop headers, and all headers defined by this project.
   *
   * @param headers the headers of a message, changed in place
   */
  public static void retain(HttpHeaders headers) {
    removeConnectionOptions(headers);
    for (AsciiString name : HOP_BY_HOP) {
      headers.remove(name);
    }
    removeProjectHeaders(headers);
  }

  /**
   * Does the same as {@link #retain(HttpHeaders)}, but keeps the headers with the given names.
   *
   * @param headers the headers of a message, changed in place
   * @param kept the names of the headers to keep; of each, only the first value is kept
   */
  public static void retain(HttpHeaders headers, Collection<AsciiString> kept) {
    Map<AsciiString, String> values = new HashMap<>();
    for (AsciiString name : kept) {
      String value = headers.get(name);
      if (value != null) {
        values.put(name, value);
      }
    }
    retain(headers);
    values.forEach(headers::set);
  }

  private static void removeProjectHeaders(HttpHeaders headers) {
    List<CharSequence> projectHeaders = new ArrayList<>();
    Iterator<Map.Entry<CharSequence, CharSequence>> fields = headers.iteratorCharSequence();
    while (fields.hasNext()) {
      CharSequence name = fields.next().getKey();
      if (isProjectHeader(name)) {
        projectHeaders.add(name);
      }
    }
    projectHeaders.forEach(headers::remove);
  }

  private static void removeConnectionOptions(HttpHeaders headers) {
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",", -1)) {
        String option = name.strip().toLowerCase(Locale.ROOT);
        if (isRemovable(option)) {
          headers.remove(option);
        }
      }
    }
  }

  private static boolean isRemovable(String option) {
    // The Connection header must not remove headers on which framing and routing depend.
    return !option.isEmpty()
        && !HttpHeaderNames.HOST.contentEqualsIgnoreCase(option)
        && !HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(option);
  }

  private static boolean isProjectHeader(CharSequence name) {
    return AsciiString.regionMatches(
        name, true, 0, WagtailpinHeaders.PREFIX, 0, WagtailpinHeaders.PREFIX.length());
  }
}
