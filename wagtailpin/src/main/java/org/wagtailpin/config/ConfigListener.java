package org.wagtailpin.config;

/** Listener for changes of the active configuration. */
public interface ConfigListener {

  /**
   * Called on the control thread after a change was published to traffic threads.
   *
   * @param merged the merged states, which the listener must not modify
   */
  void configChanged(MergedConfig merged);
}
