package org.wagtailpin.config;

/**
 * 64-bit hash of the content of a ticket, equal for equal sets of objects and removals.
 *
 * @param value the hash, all bits significant
 */
public record ContentHash(long value) {

  private static final int HEX_RADIX = 16;

  /**
   * Parses the form that {@link #toString} returns.
   *
   * @param text sixteen hexadecimal digits
   * @throws NumberFormatException if the text is not an unsigned 64-bit hexadecimal number
   */
  public static ContentHash parse(String text) {
    return new ContentHash(Long.parseUnsignedLong(text, HEX_RADIX));
  }

  @Override
  public String toString() {
    return String.format("%016x", value);
  }
}
