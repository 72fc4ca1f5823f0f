package org.wagtailpin.claims;

/** Gives the attempts of one start of an entry their names. For use by the control thread. */
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
