package org.wagtailpin.config;

/** Gives traffic threads the configuration in force. */
public interface ConfigSource {

  /** Returns the newest published snapshot; cheap, and never null. */
  ConfigSnapshot current();
}
