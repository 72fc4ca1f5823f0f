package org.wagtailpin.call;

/** Takes note of routing decisions. Called by traffic threads, so it must not block. */
public interface DecisionLog {

  /**
   * Notes a decision.
   *
   * @param decision the decision
   */
  void decided(Decision decision);
}
