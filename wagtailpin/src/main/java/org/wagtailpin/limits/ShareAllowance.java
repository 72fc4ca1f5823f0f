package org.wagtailpin.limits;

/**
 * The work that a customer with excessive demand may still have at this entry. It grows by the
 * customer's share and not by its requests, so that asking again sooner gains nothing. Not safe for
 * concurrent use.
 */
final class ShareAllowance {

  /** For how long an unused share accumulates, and how far work in free slots may overdraw it. */
  private static final double BURST_MILLIS = 1_000;

  private double slots;
  private double workMillis;
  private double atMillis;

  /**
   * Creates an allowance of one call.
   *
   * @param slots the share, in slots
   * @param nowMillis the current time
   */
  ShareAllowance(double slots, double nowMillis) {
    this.slots = slots;
    this.atMillis = nowMillis;
  }

  void changeShare(double newSlots, double nowMillis) {
    accrue(nowMillis);
    slots = newSlots;
  }

  private void accrue(double nowMillis) {
    double earned = slots * Math.max(0, nowMillis - atMillis);
    workMillis = Math.min(Math.max(workMillis, slots * BURST_MILLIS), workMillis + earned);
    atMillis = nowMillis;
  }

  /** Takes the work of a call, unless earlier calls have used the share up. */
  boolean tryTake(double callMillis, double nowMillis) {
    accrue(nowMillis);
    if (workMillis < 0) {
      return false;
    }
    workMillis -= callMillis;
    return true;
  }

  /** Charges the work of a call that was given a free slot beyond the share. */
  void charge(double callMillis, double nowMillis) {
    accrue(nowMillis);
    workMillis = Math.max(workMillis - callMillis, Math.min(workMillis, -slots * BURST_MILLIS));
  }

  /**
   * Gives back the work of a call that was refused for another reason. Calls that arrived before
   * the customer exceeded its share did not take any, so the allowance is not raised above its
   * maximum.
   */
  void giveBack(double callMillis) {
    workMillis = Math.max(workMillis, Math.min(slots * BURST_MILLIS, workMillis + callMillis));
  }

  /** Returns the time until the share has room for a call, infinite if it never has. */
  double waitMillis() {
    return workMillis >= 0 ? 0 : -workMillis / slots;
  }

  /** Returns the time between two calls that the share has room for, infinite if it has none. */
  double paceMillis(double callMillis) {
    return callMillis / slots;
  }
}
