package org.wagtailpin.membership;

/** Replication of configuration between entries, driven by heartbeats. */
public interface ConfigSync {

  /** Returns the stamp of this entry's configuration. */
  ConfigStamp stamp();

  /**
   * Handles the stamp of another entry's configuration. Called on the control loop for each
   * heartbeat and each acknowledgement of the other entry.
   *
   * @param entry the other entry
   * @param stamp its stamp
   */
  void onPeerStamp(String entry, ConfigStamp stamp);
}
