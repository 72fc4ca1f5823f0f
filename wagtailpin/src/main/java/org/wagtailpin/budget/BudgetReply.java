package org.wagtailpin.budget;

/**
 * The answer of a holder to another entry.
 *
 * @param verdict the kind of answer
 * @param units how many units were granted or lent, a whole number for entries
 * @param retryAfterMillis after how long a denied entry may find units, in milliseconds
 * @param spare how many units the holder has left
 */
public record BudgetReply(Verdict verdict, double units, long retryAfterMillis, double spare) {

  /** Kinds of answers. */
  public enum Verdict {
    /** Units were granted or lent. */
    GRANTED,
    /** The budget is exhausted. */
    DENIED,
    /** The entry does not hold the share of its domain, or does not know the limited object. */
    NOT_HOLDER
  }

  static BudgetReply granted(double units, double spare) {
    return new BudgetReply(Verdict.GRANTED, units, 0, spare);
  }

  static BudgetReply denied(long retryAfterMillis, double spare) {
    return new BudgetReply(Verdict.DENIED, 0, Math.max(1, retryAfterMillis), spare);
  }

  static BudgetReply notHolder() {
    return new BudgetReply(Verdict.NOT_HOLDER, 0, 0, 0);
  }
}
