package org.wagtailpin.routing;

import java.util.Optional;

/**
 * The result of a load probe.
 *
 * @param load the load that the server reported, empty if none was received
 * @param limit what the answer stated of the requests that the server takes
 */
public record ProbeAnswer(Optional<LoadReport> load, LimitStatement limit) {

  /** Returns the result of a probe without an answer. */
  public static ProbeAnswer none() {
    return new ProbeAnswer(Optional.empty(), new LimitStatement.Unknown());
  }
}
