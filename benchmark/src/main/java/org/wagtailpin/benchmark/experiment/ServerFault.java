package org.wagtailpin.benchmark.experiment;

/**
 * A fault of a stand-in server. A slow or cold server takes longer for its work; a lying one also
 * reports no load; a failing one fails all calls at once and reports no load; a draining one
 * refuses all calls and reports that it is leaving.
 */
final class ServerFault {

  static final ServerFault NONE = new ServerFault("none", 1);

  private final String kind;
  private final double factor;

  ServerFault(String kind, double factor) {
    this.kind = kind;
    this.factor = factor;
  }

  boolean failsFast() {
    return kind.equals("fail-fast");
  }

  boolean drains() {
    return kind.equals("drain");
  }

  boolean misreportsLoad() {
    return kind.equals("lie");
  }

  /** Returns the factor by which work takes longer, 1 if the fault does not slow down work. */
  double factor() {
    return kind.equals("slow") || kind.equals("cold") || misreportsLoad() ? factor : 1;
  }
}
