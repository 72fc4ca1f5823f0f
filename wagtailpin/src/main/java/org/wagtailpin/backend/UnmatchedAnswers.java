package org.wagtailpin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.clock.TokenBucket;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.transport.HttpDialect;

/**
 * Counts the input of backend servers that matched no request, and writes an event for it, at most
 * {@value #LINES_PER_SECOND} a second. Thread-safe; never blocks.
 */
final class UnmatchedAnswers {

  private static final int LINES_PER_SECOND = 10;
  private static final double BURST_MILLIS = 1_000;
  private static final int MAX_SEARCHED_BYTES = 1_024;
  private static final int MAX_FIELD_LENGTH = 200;
  private static final Pattern STATUS_LINE = Pattern.compile("^HTTP/1\\.[01] (\\d{3})");

  private final EventLog events;
  private final TokenBucket lines;
  private final AsciiString identifierHeader;
  private final Pattern identifierLine;
  private final Map<UnmatchedReason, LongAdder> counts = new EnumMap<>(UnmatchedReason.class);
  private final LongAdder omittedLines = new LongAdder();

  /**
   * What a connection had carried when the input came.
   *
   * @param server the name of the backend server
   * @param carried the number of requests that were sent on the connection
   * @param awaiting whether a request awaited its answer
   * @param identifier the identifier of the last request, empty for a probe
   * @param method the method of the last request, empty if there was none
   * @param before the identifier of the request before the last one
   * @param idleMillis the time since the last answer ended, -1 while one is awaited
   */
  record ConnectionHistory(
      String server,
      long carried,
      boolean awaiting,
      String identifier,
      String method,
      String before,
      long idleMillis) {}

  /**
   * Creates counters at 0.
   *
   * @param events receives the events
   * @param clock limits their rate
   * @param dialect names the header that identifies answers
   */
  UnmatchedAnswers(EventLog events, Clock clock, HttpDialect dialect) {
    this.events = events;
    this.lines = new TokenBucket(clock, BURST_MILLIS, LINES_PER_SECOND);
    this.identifierHeader = dialect.echoedHeader();
    this.identifierLine =
        Pattern.compile(
            "^" + Pattern.quote(identifierHeader.toString()) + ":[ \\t]*([^\\r\\n]*)",
            Pattern.CASE_INSENSITIVE | Pattern.MULTILINE);
    for (UnmatchedReason reason : UnmatchedReason.values()) {
      counts.put(reason, new LongAdder());
    }
  }

  /**
   * Records an answer whose head was read.
   *
   * @param reason why it was discarded or refused
   * @param history what its connection had carried
   * @param status its status code
   * @param identifier the identifier that it bears, null if it bears none
   */
  void recordAnswer(
      UnmatchedReason reason, ConnectionHistory history, int status, String identifier) {
    counts.get(reason).increment();
    if (!lines.take(1, LINES_PER_SECOND)) {
      omittedLines.increment();
      return;
    }
    Event event =
        Event.of(EventKind.ANSWER_UNMATCHED)
            .with("server", history.server())
            .with("reason", reason.label())
            .with("awaiting", history.awaiting())
            .with("identifier", shortened(history.identifier()))
            .with("method", history.method())
            .with("before", shortened(history.before()))
            .with("received", identifier == null ? "" : shortened(identifier))
            .with("status", status)
            .with("carried", history.carried());
    if (history.idleMillis() >= 0) {
      event.with("idleMillis", history.idleMillis());
    }
    events.recordEvent(event.with("omitted", omittedLines.sumThenReset()));
  }

  /** Records an answer of which the head was decoded, like {@link #recordAnswer}. */
  void recordHead(UnmatchedReason reason, ConnectionHistory history, HttpResponse head) {
    recordAnswer(reason, history, head.status().code(), head.headers().get(identifierHeader));
  }

  /**
   * Records input that was not decoded. Its status and identifier are searched for in its first
   * bytes.
   *
   * @param reason why it was refused
   * @param history what its connection had carried
   * @param input the input; not consumed
   */
  void recordInput(UnmatchedReason reason, ConnectionHistory history, ByteBuf input) {
    int length = Math.min(input.readableBytes(), MAX_SEARCHED_BYTES);
    String text = input.toString(input.readerIndex(), length, StandardCharsets.ISO_8859_1);
    Matcher status = STATUS_LINE.matcher(text);
    Matcher identifier = identifierLine.matcher(text);
    recordAnswer(
        reason,
        history,
        status.find() ? Integer.parseInt(status.group(1)) : 0,
        identifier.find() ? identifier.group(1).strip() : null);
  }

  private static String shortened(String text) {
    return text.length() <= MAX_FIELD_LENGTH ? text : text.substring(0, MAX_FIELD_LENGTH);
  }

  /** Returns how much input was recorded for a reason. */
  long count(UnmatchedReason reason) {
    return counts.get(reason).sum();
  }
}
