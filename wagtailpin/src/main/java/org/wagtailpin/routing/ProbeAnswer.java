package org.wagtailpin.routing;

import java.util.Optional;

/**
 * The result of a load probe.
 *
 * @param load the load that the server reported, empty if none was received
 * @param limit what the answer stated of the requests that the server takes
 * @param slowStartMillis for how long the server is cold, 0 if it is not; empty if not stated
 */
public record ProbeAnswer(
    Optional<LoadReport> load, LimitStatement limit, Optional<Long> slowStartMillis) {

  /** Creates the result of a probe that states nothing of a slow start. */
  public ProbeAnswer(Optional<LoadReport> load, LimitStatement limit) {
    this(load, limit, Optional.empty());
  }

  /** Returns the result of a probe without an answer. */
  public static ProbeAnswer none() {
    return new ProbeAnswer(Optional.empty(), new LimitStatement.Unknown());
  }
}
