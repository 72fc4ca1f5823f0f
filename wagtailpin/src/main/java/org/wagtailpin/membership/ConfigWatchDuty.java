package org.wagtailpin.membership;

import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.StoreConfigWatcher;

/**
 * Has the store watched for configuration by the entries elected to it, and by any entry that has
 * no configuration at all. The others learn of changes by heartbeats.
 */
public final class ConfigWatchDuty implements WatchDuty {

  private final ConfigMerger merger;
  private final StoreConfigWatcher watcher;

  /**
   * Creates a duty.
   *
   * @param merger tells whether there is any configuration
   * @param watcher watches the store
   */
  public ConfigWatchDuty(ConfigMerger merger, StoreConfigWatcher watcher) {
    this.merger = merger;
    this.watcher = watcher;
  }

  @Override
  public void watch(boolean elected) {
    if (elected || merger.merged().objects().isEmpty()) {
      watcher.start();
    } else {
      watcher.stop();
    }
  }
}
