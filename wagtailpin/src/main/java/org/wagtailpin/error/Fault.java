package org.wagtailpin.error;

import java.util.Objects;

/**
 * What went wrong, at which step and with which peer.
 *
 * @param step the step that failed
 * @param peer the kind of peer the step dealt with
 * @param peerName the name or address of that peer, empty if there is none
 * @param detail one line for a person to read
 */
public record Fault(Step step, Peer peer, String peerName, String detail) {

  /** Checks that every part is present. */
  public Fault {
    Objects.requireNonNull(step, "step");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(peerName, "peerName");
    Objects.requireNonNull(detail, "detail");
  }

  @Override
  public String toString() {
    String where = peerName.isEmpty() ? peer.label() : peer.label() + " " + peerName;
    return step.label() + " at " + where + ": " + detail;
  }
}
