package org.wagtailpin.entrypeer;

import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.error.Fault;

/** How a request to another entry ended. */
public sealed interface PeerReply {

  /**
   * The entry answered.
   *
   * @param frame the answer
   */
  record Answered(PeerFrame frame) implements PeerReply {}

  /**
   * The request never left this entry, so the other one did not act on it.
   *
   * @param fault why
   */
  record NotSent(Fault fault) implements PeerReply {}

  /**
   * No answer came; the other entry may have acted on the request.
   *
   * @param fault why
   */
  record NoAnswer(Fault fault) implements PeerReply {}
}
