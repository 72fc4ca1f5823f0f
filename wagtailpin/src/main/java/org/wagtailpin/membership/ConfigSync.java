package org.wagtailpin.membership;

/** The part of an entry that spreads configuration, as heartbeats see it. */
public interface ConfigSync {

  /** Returns the stamp of this entry's configuration. */
  ConfigStamp stamp();

  /**
   * Notes the stamp of another entry's configuration. Called on the control loop.
   *
   * @param entry the other entry
   * @param stamp its stamp
   */
  void onPeerStamp(String entry, ConfigStamp stamp);
}
