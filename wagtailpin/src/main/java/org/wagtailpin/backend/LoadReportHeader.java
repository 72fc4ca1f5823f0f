package org.wagtailpin.backend;

import java.util.Optional;
import org.wagtailpin.routing.LoadReport;
import org.wagtailpin.transport.HttpDialect;

/**
 * Parser for the header in which a backend server reports its load.
 *
 * <p>In the default format, {@code inflight=3, queued=0, leaving}, members may appear in any order
 * and unknown ones are ignored. A value without a valid {@code inflight} is not a report.
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
   * Parses a value in the default format.
   *
   * @param value the value of the header
   * @return the report, empty if the value has no valid {@code inflight}
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
   * Parses a value in the format of a dialect.
   *
   * @param value the value of the header
   * @param dialect selects the format
   * @return the report, empty if the value is not a valid report
   */
  public static Optional<LoadReport> read(String value, HttpDialect dialect) {
    return dialect.loadFormat() == HttpDialect.LoadFormat.COLUMNS
        ? parseColumns(value)
        : parse(value);
  }

  /**
   * Parses a list of numbers in this order: running, waiting, slots, slowness in percent. The last
   * two may be missing.
   *
   * @param value the value of the header
   * @return the report, empty if the value does not start with two numbers
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
