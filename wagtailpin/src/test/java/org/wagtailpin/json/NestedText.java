package org.wagtailpin.json;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;

/**
 * A JSON text that consists of nested objects, arrays or both.
 *
 * @param text the text
 * @param levels the depth of its nesting
 * @param whole whether all its objects and arrays end
 */
public record NestedText(String text, int levels, boolean whole) {

  private static final int[] LEVELS = {31, 32, 33, 100, 500, 999, 1_001, 5_000, 200_000};

  /** Returns texts of many depths, up to some hundred thousand levels. */
  public static List<NestedText> all() {
    List<NestedText> all = new ArrayList<>();
    for (int levels : LEVELS) {
      int pairs = levels / 2;
      add("[".repeat(levels), "", "]".repeat(levels), levels, all);
      add("{\"a\":".repeat(levels), "1", "}".repeat(levels), levels, all);
      add("[{\"a\":".repeat(pairs), "1", "}]".repeat(pairs), 2 * pairs, all);
    }
    return all;
  }

  private static void add(
      String start, String innermost, String end, int levels, List<NestedText> all) {
    all.add(new NestedText(start + innermost + end, levels, true));
    all.add(new NestedText(start, levels, false));
  }

  /** Returns the text in UTF-8. */
  public byte[] bytes() {
    return text.getBytes(UTF_8);
  }

  /** Returns a description for messages, without the text itself. */
  public String description() {
    return levels + " levels, " + (whole ? "whole: " : "cut off: ") + text.substring(0, 6);
  }
}
