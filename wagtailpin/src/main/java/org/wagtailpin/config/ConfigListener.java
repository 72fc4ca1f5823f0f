package org.wagtailpin.config;

/** Is told when the configuration in force changes. */
public interface ConfigListener {

  /**
   * Runs on the control thread after a change was published.
   *
   * @param merged the merged states, to be read only
   */
  void configChanged(MergedConfig merged);
}
