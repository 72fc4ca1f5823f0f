package org.wagtailpin.backend;

import java.util.Optional;
import org.wagtailpin.routing.LoadReport;

/**
 * Reader of the {@code Wagtailpin-Load} header: {@code inflight=3, queued=0, leaving}.
 *
 * <p>The members may come in any order; unknown ones are passed over, and a header without a valid
 * {@code inflight} is none.
 */
public final class LoadReportHeader {

  private static final String IN_FLIGHT = "inflight=";
  private static final String QUEUED = "queued=";
  private static final String LEAVING = "leaving";
  private static final int ABSENT = -1;
  private static final int MAX_DIGITS = 9;

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
        inFlight = number(member, IN_FLIGHT.length());
      } else if (member.startsWith(QUEUED)) {
        queued = Math.max(0, number(member, QUEUED.length()));
      } else if (member.equals(LEAVING)) {
        leaving = true;
      }
      start = end + 1;
    }
    return inFlight < 0 ? Optional.empty() : Optional.of(new LoadReport(inFlight, queued, leaving));
  }

  private static int number(String member, int from) {
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
