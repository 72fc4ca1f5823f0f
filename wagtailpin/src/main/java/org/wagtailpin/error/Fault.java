package org.wagtailpin.error;

import java.util.Objects;

/**
 * Description of an error: the step that failed, the peer involved and a message.
 *
 * @param step the step that failed
 * @param peer the kind of peer involved in the step
 * @param peerName the name or address of that peer, empty if there is none
 * @param detail a one-line message for operators and callers
 */
public record Fault(Step step, Peer peer, String peerName, String detail) {

  /**
   * Creates a fault.
   *
   * @throws NullPointerException if a component is null
   */
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
