package org.wagtailpin.claims;

import java.util.Optional;

/**
 * Identifier of one attempt to claim a key, unique across all entries and their restarts.
 *
 * @param entry the id of the entry that makes the attempt
 * @param incarnation the incarnation of that entry, a number that is new at each start
 * @param number the sequence number of the attempt within the incarnation
 */
record AttemptId(String entry, long incarnation, long number) {

  private static final char SEPARATOR = '/';

  /** Returns the text form used in peer messages and in the claim log. */
  String text() {
    return entry
        + SEPARATOR
        + Long.toUnsignedString(incarnation, Character.MAX_RADIX)
        + SEPARATOR
        + Long.toUnsignedString(number, Character.MAX_RADIX);
  }

  /** Parses the form returned by {@link #text()}; empty if the text is malformed. */
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
