package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Publishes the active configuration from the control thread to traffic threads.
 *
 * <p>Only one thread may publish; any thread may read the current snapshot.
 */
public final class PublishedConfig implements ConfigSource {

  private final AtomicReference<ConfigSnapshot> current =
      new AtomicReference<>(ConfigSnapshot.empty());
  private List<ConfigObject> defaults;
  private long publishedDigest = new MergedConfig().digest();

  /** Creates a source whose snapshot is empty until the first publication. */
  public PublishedConfig() {
    this(List.of());
  }

  /**
   * Creates a source whose snapshot is empty until the first publication.
   *
   * @param defaults default objects, placed after those of the configuration in each snapshot, so
   *     that the limits of the configuration take precedence
   */
  public PublishedConfig(List<ConfigObject> defaults) {
    this.defaults = List.copyOf(defaults);
  }

  /**
   * Publishes a snapshot of the merged state if its digest differs from the one published last.
   *
   * @param merged the state to publish; copied
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
   * Replaces the default objects, and publishes a new snapshot if they differ.
   *
   * @param newDefaults the new default objects
   * @param merged the active state, which the new snapshot is built from
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
    ConfigSnapshot before = current.get();
    current.set(new ConfigSnapshot(before.version() + 1, objects, before.customers()));
    publishedDigest = merged.digest();
  }

  @Override
  public ConfigSnapshot current() {
    return current.get();
  }
}
