package org.wagtailpin.membership;

/** Does not replicate configuration; its stamp never changes. */
final class NoOpConfigSync implements ConfigSync {

  @Override
  public ConfigStamp stamp() {
    return new ConfigStamp(0, 0);
  }

  @Override
  public void onPeerStamp(String entry, ConfigStamp stamp) {
    // No configuration is replicated.
  }
}
