package org.wagtailpin.membership;

/** Configuration that never changes. */
final class NoOpConfigSync implements ConfigSync {

  @Override
  public ConfigStamp stamp() {
    return new ConfigStamp(0, 0);
  }

  @Override
  public void onPeerStamp(String entry, ConfigStamp stamp) {
    // Nothing is spread.
  }
}
