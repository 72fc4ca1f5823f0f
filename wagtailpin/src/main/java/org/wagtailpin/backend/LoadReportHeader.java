package org.wagtailpin.backend;

import java.util.Optional;
import org.wagtailpin.routing.LoadReport;
import org.wagtailpin.transport.HttpDialect;

/**
 * Reader of the header by which a server tells its load.
 *
 * <p>In its own form, {@code inflight=3, queued=0, leaving}, the members may come in any order;
 * unknown ones are passed over, and a header without a valid {@code inflight} is none.
 */
public final class LoadReportHeader {

  private static final String IN_FLIGHT = "inflight=";
  private static final String QUEUED = "queued=";
  private static final String LEAVING = "leaving";
  private static final int ABSENT = -1;
  private static final int MAX_DIGITS = 9;
  private static final int RUNNING_COLUMN = 0;
  private static final int WAITING_COLUMN = 1;
  private static final int SLOWNESS_COLUMN = 3;
  private static final double PERCENT = 100;

  private LoadReportHeader() {}

  /**
   * Reads a header.
   *
   * @param value the header's value
   * @return the report, or empty if the value holds none
   */
  public static Optional<LoadReport> parse(String value) {
    int inFlight = ABSENT;
    int queued = 0;
    boolean leaving = false;
    int start = 0;
    while (start < value.length()) {
      int comma = value.indexOf(',', start);
      int end = comma < 0 ? value.length() : comma;
      String member = value.substring(start, end).strip();
      if (member.startsWith(IN_FLIGHT)) {
        inFlight = parseNumber(member, IN_FLIGHT.length());
      } else if (member.startsWith(QUEUED)) {
        queued = Math.max(0, parseNumber(member, QUEUED.length()));
      } else if (member.equals(LEAVING)) {
        leaving = true;
      }
      start = end + 1;
    }
    return inFlight < 0 ? Optional.empty() : Optional.of(new LoadReport(inFlight, queued, leaving));
  }

  /**
   * Reads a header in the form of a dialect.
   *
   * @param value the header's value
   * @param dialect tells the form
   */
  public static Optional<LoadReport> read(String value, HttpDialect dialect) {
    return dialect.loadFormat() == HttpDialect.LoadFormat.COLUMNS
        ? parseColumns(value)
        : parse(value);
  }

  /**
   * Reads a header of numbers in order: running, waiting, slots, slowness in percent.
   *
   * @param value the header's value
   * @return the report, or empty if the value does not begin with two numbers
   */
  public static Optional<LoadReport> parseColumns(String value) {
    String[] columns = value.split(",", -1);
    if (columns.length <= WAITING_COLUMN) {
      return Optional.empty();
    }
    int running = parseNumber(columns[RUNNING_COLUMN].strip(), 0);
    int waiting = parseNumber(columns[WAITING_COLUMN].strip(), 0);
    if (running < 0 || waiting < 0) {
      return Optional.empty();
    }
    int percent =
        columns.length > SLOWNESS_COLUMN
            ? parseNumber(columns[SLOWNESS_COLUMN].strip(), 0)
            : ABSENT;
    double slowness = percent > 0 ? percent / PERCENT : 1;
    return Optional.of(new LoadReport(running, waiting, false, slowness));
  }

  private static int parseNumber(String member, int from) {
    int digits = member.length() - from;
    if (digits < 1 || digits > MAX_DIGITS) {
      return ABSENT;
    }
    int number = 0;
    for (int i = from; i < member.length(); i++) {
      int digit = Character.digit(member.charAt(i), 10);
      if (digit < 0) {
        return ABSENT;
      }
      number = number * 10 + digit;
    }
    return number;
  }
}
