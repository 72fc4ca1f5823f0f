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
    int lastSeparator = text.lastIndexOf(SEPARATOR);
    int middleSeparator = text.lastIndexOf(SEPARATOR, lastSeparator - 1);
    if (middleSeparator < 1) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new AttemptId(
              text.substring(0, middleSeparator),
              Long.parseUnsignedLong(
                  text.substring(middleSeparator + 1, lastSeparator), Character.MAX_RADIX),
              Long.parseUnsignedLong(text.substring(lastSeparator + 1), Character.MAX_RADIX)));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
