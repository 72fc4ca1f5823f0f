package org.wagtailpin.membership;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * What an entry knows of the other entries, and how it joins and leaves them. All methods except
 * {@link #current} and {@link #status} are called before the start or on the control loop.
 */
public interface FleetMembership extends MembershipSource {

  /**
   * Sets the listener for the status. Called before the start.
   *
   * @param listener called on the control loop at each publication, also when nothing changed
   */
  void setStatusListener(Consumer<MembershipStatus> listener);

  /** Starts to join the fleet. */
  void start();

  /** Announces to the other entries that this one is about to leave. */
  void announceLeaving();

  /**
   * Leaves the fleet. Called when no work is in flight any more.
   *
   * @return completes when the other entries were notified or did not answer in time
   */
  CompletableFuture<Void> leave();

  /** Stops all activity without notifying other entries. */
  void stop();

  /** Returns the status published last, for operators. Thread-safe. */
  MembershipStatus status();
}
