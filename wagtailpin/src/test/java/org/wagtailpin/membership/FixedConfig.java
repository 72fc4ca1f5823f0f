package org.wagtailpin.membership;

/** Configuration that never changes. */
final class FixedConfig implements ConfigWatcher {

  @Override
  public ConfigStamp stamp() {
    return new ConfigStamp(0, 0);
  }

  @Override
  public void heard(String entry, ConfigStamp stamp) {
    // Nothing is spread.
  }
}
