package org.wagtailpin.membership;

/** Receives the result of the election of the store watcher in this entry's failure domain. */
public interface WatcherElectionListener {

  /**
   * Handles an election result. Called on the control loop, also when the result is unchanged.
   *
   * @param elected whether this entry is to watch the store
   */
  void onElectionResult(boolean elected);
}
