package org.wagtailpin.claims;

/** Generates the attempt ids of one incarnation of an entry. Used on the control loop only. */
final class AttemptSequence {

  private final String entry;
  private final long incarnation;
  private long lastNumber;

  AttemptSequence(String entry, long incarnation) {
    this.entry = entry;
    this.incarnation = incarnation;
  }

  AttemptId next() {
    return new AttemptId(entry, incarnation, ++lastNumber);
  }
}
