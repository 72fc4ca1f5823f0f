package org.wagtailpin.json;

import com.fasterxml.jackson.core.StreamReadConstraints;

/** Limits of the JSON texts that the readers of this package accept. */
final class JsonLimits {

  /**
   * Maximum nesting depth of objects and arrays, in levels. The readers of this package recurse
   * once per level, which must not overflow the smallest stack of an entry's threads, 512 KiB.
   */
  static final int MAX_DEPTH = 32;

  private JsonLimits() {}

  /** Returns constraints of a parser with the maximum depth; the others have their defaults. */
  static StreamReadConstraints.Builder constraints() {
    return StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH);
  }
}
