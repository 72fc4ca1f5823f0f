package org.wagtailpin.operator;

/** A part of the status page, which is written as one member of its JSON object. */
public interface StatusPart {

  /** Returns the JSON key of this part. */
  String name();

  /**
   * Returns the current value of the part. Must be thread-safe.
   *
   * @return a record of strings, numbers, booleans, enums, lists and nested records
   */
  Record current();
}
