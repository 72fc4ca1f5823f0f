package org.wagtailpin.operator;

/** A part of the status page. */
public interface StatusPart {

  /** Returns the key of this part. */
  String name();

  /**
   * Returns the part as it is now; for any thread.
   *
   * @return a record of texts, numbers, flags, enums, lists and further records
   */
  Record current();
}
