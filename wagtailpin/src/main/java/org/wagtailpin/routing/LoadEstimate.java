package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * What one entry takes a server's load to be: its own attempts in flight, which it knows, and the
 * work of other entries, which it takes from the server's last report. Safe for all threads.
 */
final class LoadEstimate {

  private record Report(int otherLoad, double slowness, double atMillis) {}

  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile Report lastReport = new Report(0, 1, Double.NEGATIVE_INFINITY);

  int inFlight() {
    return inFlight.get();
  }

  /** Takes a slot unless the entry has as many attempts there as it may; tells whether it did. */
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

  /** Takes in a report that arrived after the attempt it came with was ended. */
  void recordReport(LoadReport report, double nowMillis) {
    int total = report.inFlight() + report.queued();
    lastReport = new Report(Math.max(0, total - inFlight.get()), report.slowness(), nowMillis);
  }

  /**
   * Returns the work that other entries are taken to have on the server. The older the report, the
   * nearer it is to what is usual.
   */
  double otherLoad(double average, double reportTrust, double decayMillis, double nowMillis) {
    Report report = lastReport;
    double weight = reportTrust * Math.exp((report.atMillis() - nowMillis) / decayMillis);
    return average + weight * (report.otherLoad() - average);
  }

  /**
   * Returns the slowness that the server is taken to have now. The older its report, the nearer it
   * is to what is usual.
   */
  double slowness(double average, double decayMillis, double nowMillis) {
    Report report = lastReport;
    double weight = Math.exp((report.atMillis() - nowMillis) / decayMillis);
    return average + weight * (report.slowness() - average);
  }

  int lastOtherLoad() {
    return lastReport.otherLoad();
  }

  double reportAgeMillis(double nowMillis) {
    double age = nowMillis - lastReport.atMillis();
    return Double.isInfinite(age) ? -1 : age;
  }
}
