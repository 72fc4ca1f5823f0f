package org.wagtailpin.membership;

/** Is told whether this entry watches the store for its failure domain. */
public interface WatcherElectionListener {

  /**
   * Notes the newest decision. Called on the control loop, also when nothing changed.
   *
   * @param elected whether this entry is to watch the store
   */
  void onElectionResult(boolean elected);
}
