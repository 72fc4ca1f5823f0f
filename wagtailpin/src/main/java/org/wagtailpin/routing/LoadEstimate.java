package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry's estimate of a server's load: its own attempts in flight, which it counts, and the work
 * of other entries, derived from the server's last load report. Safe for all threads.
 */
final class LoadEstimate {

  private record Report(int otherLoad, double slowness, double atMillis) {}

  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile Report lastReport = new Report(0, 1, Double.NEGATIVE_INFINITY);

  int inFlight() {
    return inFlight.get();
  }

  /** Occupies a slot; returns false if the entry already has the maximum of attempts there. */
  boolean tryTakeSlot(int maxInFlight) {
    while (true) {
      int before = inFlight.get();
      if (before >= maxInFlight) {
        return false;
      }
      if (inFlight.compareAndSet(before, before + 1)) {
        return true;
      }
    }
  }

  void releaseSlot() {
    inFlight.decrementAndGet();
  }

  /** Records a load report. If it came with an answer, that attempt has released its slot. */
  void recordReport(LoadReport report, double nowMillis) {
    int total = report.inFlight() + report.queued();
    lastReport = new Report(Math.max(0, total - inFlight.get()), report.slowness(), nowMillis);
  }

  /**
   * Returns the estimated work of other entries on the server, in calls. The weight of the last
   * report against the average decays with its age.
   */
  double otherLoad(double average, double reportTrust, double decayMillis, double nowMillis) {
    Report report = lastReport;
    double weight = reportTrust * Math.exp((report.atMillis() - nowMillis) / decayMillis);
    return average + weight * (report.otherLoad() - average);
  }

  /**
   * Returns the estimated slowness of the server. The weight of the last report against the average
   * decays with its age.
   */
  double slowness(double average, double decayMillis, double nowMillis) {
    Report report = lastReport;
    double weight = Math.exp((report.atMillis() - nowMillis) / decayMillis);
    return average + weight * (report.slowness() - average);
  }

  /** Returns when the last report was received; infinitely long ago if there is none. */
  double lastReportMillis() {
    return lastReport.atMillis();
  }

  int lastOtherLoad() {
    return lastReport.otherLoad();
  }

  /** Returns the age of the last report, in milliseconds, -1 if there is none. */
  double reportAgeMillis(double nowMillis) {
    double age = nowMillis - lastReport.atMillis();
    return Double.isInfinite(age) ? -1 : age;
  }
}
