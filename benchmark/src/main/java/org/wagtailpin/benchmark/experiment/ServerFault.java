package org.wagtailpin.benchmark.experiment;

/** What ails a stand-in server at a moment. For use on the server's event loop. */
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

  /** Returns how many times longer work takes. */
  double factor() {
    return kind.equals("slow") || kind.equals("cold") || misreportsLoad() ? factor : 1;
  }
}
