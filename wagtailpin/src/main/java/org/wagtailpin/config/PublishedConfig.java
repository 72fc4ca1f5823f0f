package org.wagtailpin.config;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The configuration in force, handed from the control thread to traffic threads.
 *
 * <p>One thread publishes; any thread may read.
 */
public final class PublishedConfig implements ConfigSource {

  private final AtomicReference<ConfigSnapshot> current =
      new AtomicReference<>(ConfigSnapshot.empty());
  private long publishedDigest = new MergedConfig().digest();

  /**
   * Publishes a merged state if it differs from the one published before.
   *
   * @param merged the state
   * @return whether a new snapshot was published
   */
  public boolean publish(MergedConfig merged) {
    if (merged.digest() == publishedDigest) {
      return false;
    }
    current.set(new ConfigSnapshot(current.get().version() + 1, merged.live()));
    publishedDigest = merged.digest();
    return true;
  }

  @Override
  public ConfigSnapshot current() {
    return current.get();
  }
}
