package org.wagtailpin.entrypeer;

import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.error.Fault;

/** Result of a request to another entry. */
public sealed interface PeerReply {

  /**
   * The entry answered.
   *
   * @param frame the answer
   */
  record Answered(PeerFrame frame) implements PeerReply {}

  /**
   * The request was not sent, so the other entry did not process it.
   *
   * @param fault the cause
   */
  record NotSent(Fault fault) implements PeerReply {}

  /**
   * No valid answer was received; the other entry may have processed the request.
   *
   * @param fault the cause
   */
  record NoAnswer(Fault fault) implements PeerReply {}
}
