package org.wagtailpin.routing;

import org.wagtailpin.config.ConfigServer;

/** Permission to run one attempt on a server, in a slot that is occupied for it. */
public interface Grant {

  /** Returns the server to run the attempt on. */
  ConfigServer server();

  /** Returns whether the attempt may still be sent; if not, the grant is finished without it. */
  default boolean usable() {
    return true;
  }

  /**
   * Returns the time without an answer from which on the attempt counts as unanswered, in
   * milliseconds; infinite if it never does.
   */
  default double silenceMillis() {
    return Double.POSITIVE_INFINITY;
  }

  /** Reports that no answer has begun for {@link #silenceMillis()}; the attempt goes on. */
  default void unanswered() {}

  /**
   * Releases the slot and reports the result of the attempt. Must be called exactly once.
   *
   * @param report the result of the attempt
   */
  void finished(AttemptReport report);
}
