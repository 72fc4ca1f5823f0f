package org.wagtailpin.membership;

import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.StoreConfigWatcher;

/**
 * Runs the watch of configuration in the store while this entry is elected, and while it has no
 * configuration at all. Entries that do not watch get changes from other entries.
 */
public final class ConfigWatchController implements WatcherElectionListener {

  private final ConfigMerger merger;
  private final StoreConfigWatcher storeWatcher;

  /**
   * Creates a controller that starts the watch only after the first election result.
   *
   * @param merger holds the configuration of this entry
   * @param storeWatcher the watch to start and stop
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
