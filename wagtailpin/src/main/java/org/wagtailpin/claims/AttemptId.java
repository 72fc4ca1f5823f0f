package org.wagtailpin.claims;

import java.util.Optional;

/**
 * Name of one try to claim a key, unique over all entries and their restarts.
 *
 * @param entry the entry that claims
 * @param incarnation the number of the entry's start
 * @param number the number of the try within the incarnation
 */
record AttemptId(String entry, long incarnation, long number) {

  private static final char SEPARATOR = '/';

  /** Returns the form in which messages and the log carry it. */
  String text() {
    return entry
        + SEPARATOR
        + Long.toUnsignedString(incarnation, Character.MAX_RADIX)
        + SEPARATOR
        + Long.toUnsignedString(number, Character.MAX_RADIX);
  }

  /** Reads the form that {@link #text()} gives, or returns empty. */
  static Optional<AttemptId> parse(String text) {
    int last = text.lastIndexOf(SEPARATOR);
    int middle = text.lastIndexOf(SEPARATOR, last - 1);
    if (middle < 1) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new AttemptId(
              text.substring(0, middle),
              Long.parseUnsignedLong(text.substring(middle + 1, last), Character.MAX_RADIX),
              Long.parseUnsignedLong(text.substring(last + 1), Character.MAX_RADIX)));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
