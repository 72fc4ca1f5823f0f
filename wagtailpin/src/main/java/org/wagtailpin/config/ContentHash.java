package org.wagtailpin.config;

/**
 * A hash of the content of a ticket, equal for equal objects and removals.
 *
 * @param value the hash
 */
public record ContentHash(long value) {

  private static final int HEX_RADIX = 16;

  /**
   * Reads the form that {@link #toString} gives.
   *
   * @param text sixteen hexadecimal digits
   * @throws NumberFormatException if the text is none
   */
  public static ContentHash parse(String text) {
    return new ContentHash(Long.parseUnsignedLong(text, HEX_RADIX));
  }

  @Override
  public String toString() {
    return String.format("%016x", value);
  }
}
