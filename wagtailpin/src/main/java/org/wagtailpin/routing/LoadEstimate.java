package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * What one entry takes a server's load to be: its own attempts in flight, which it knows, and the
 * work of other entries, which it takes from the server's last report. Safe for all threads.
 */
final class LoadEstimate {

  private record Report(int others, double slowness, double atMillis) {}

  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile Report last = new Report(0, 1, Double.NEGATIVE_INFINITY);

  int inFlight() {
    return inFlight.get();
  }

  /** Takes a slot unless the entry has as many attempts there as it may; tells whether it did. */
  boolean begin(int most) {
    while (true) {
      int before = inFlight.get();
      if (before >= most) {
        return false;
      }
      if (inFlight.compareAndSet(before, before + 1)) {
        return true;
      }
    }
  }

  void end() {
    inFlight.decrementAndGet();
  }

  /** Takes in a report that arrived after the attempt it came with was ended. */
  void reported(LoadReport report, double nowMillis) {
    int total = report.inFlight() + report.queued();
    last = new Report(Math.max(0, total - inFlight.get()), report.slowness(), nowMillis);
  }

  /**
   * Returns the work that other entries are taken to have on the server. The older the report, the
   * nearer it is to what is usual.
   */
  double others(double usual, double trust, double trustMillis, double nowMillis) {
    Report report = last;
    double weight = trust * Math.exp((report.atMillis() - nowMillis) / trustMillis);
    return usual + weight * (report.others() - usual);
  }

  /**
   * Returns the slowness that the server is taken to have now. The older its report, the nearer it
   * is to what is usual.
   */
  double slowness(double usual, double trustMillis, double nowMillis) {
    Report report = last;
    double weight = Math.exp((report.atMillis() - nowMillis) / trustMillis);
    return usual + weight * (report.slowness() - usual);
  }

  int lastOthers() {
    return last.others();
  }

  double ageMillis(double nowMillis) {
    double age = nowMillis - last.atMillis();
    return Double.isInfinite(age) ? -1 : age;
  }
}
