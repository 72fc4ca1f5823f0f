package org.wagtailpin.membership;

import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.StoreConfigWatcher;

/**
 * Has the store watched for configuration by the entries elected to it, and by any entry that has
 * no configuration at all. The others learn of changes by heartbeats.
 */
public final class ConfigWatchController implements WatcherElectionListener {

  private final ConfigMerger merger;
  private final StoreConfigWatcher storeWatcher;

  /**
   * Creates a duty.
   *
   * @param merger tells whether there is any configuration
   * @param storeWatcher watches the store
   */
  public ConfigWatchController(ConfigMerger merger, StoreConfigWatcher storeWatcher) {
    this.merger = merger;
    this.storeWatcher = storeWatcher;
  }

  @Override
  public void onElectionResult(boolean elected) {
    if (elected || merger.merged().objects().isEmpty()) {
      storeWatcher.start();
    } else {
      storeWatcher.stop();
    }
  }
}
