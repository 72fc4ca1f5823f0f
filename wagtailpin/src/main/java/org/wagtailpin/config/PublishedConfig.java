package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The configuration in force, handed from the control thread to traffic threads.
 *
 * <p>One thread publishes; any thread may read.
 */
public final class PublishedConfig implements ConfigSource {

  private final AtomicReference<ConfigSnapshot> current =
      new AtomicReference<>(ConfigSnapshot.empty());
  private List<ConfigObject> defaults;
  private long publishedDigest = new MergedConfig().digest();

  /** Creates a source without any configuration. */
  public PublishedConfig() {
    this(List.of());
  }

  /**
   * Creates a source without any configuration.
   *
   * @param defaults objects that go after those of the configuration
   */
  public PublishedConfig(List<ConfigObject> defaults) {
    this.defaults = List.copyOf(defaults);
  }

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
    publishSnapshot(merged);
    return true;
  }

  /**
   * Replaces the objects that go after those of the configuration.
   *
   * @param newDefaults the objects
   * @param merged the state in force
   */
  public void changeDefaults(List<ConfigObject> newDefaults, MergedConfig merged) {
    if (!defaults.equals(newDefaults)) {
      defaults = List.copyOf(newDefaults);
      publishSnapshot(merged);
    }
  }

  private void publishSnapshot(MergedConfig merged) {
    List<ConfigObject> objects = new ArrayList<>(merged.live());
    objects.addAll(defaults);
    current.set(new ConfigSnapshot(current.get().version() + 1, objects));
    publishedDigest = merged.digest();
  }

  @Override
  public ConfigSnapshot current() {
    return current.get();
  }
}
