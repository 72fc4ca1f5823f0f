package org.wagtailpin.config;

/** Source of the active configuration for traffic threads. Thread-safe. */
public interface ConfigSource {

  /** Returns the snapshot published last, never null; cheap enough to call for each request. */
  ConfigSnapshot current();
}
