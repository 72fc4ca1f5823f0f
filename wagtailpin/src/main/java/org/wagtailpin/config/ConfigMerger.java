package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.wagtailpin.clock.Clock;

/**
 * Puts states from the store and from peers in force.
 *
 * <p>All methods but {@link #origin} and {@link #report} run on the control thread. Each call
 * merges its states together, so that traffic threads see them at once or not at all.
 */
public final class ConfigMerger {

  private final Clock clock;
  private final MergedConfig merged;
  private final PublishedConfig published;
  private final List<ConfigListener> listeners = new ArrayList<>();
  private volatile ConfigOrigin origin = ConfigOrigin.none();
  private volatile ConfigReport report;

  /**
   * Creates a merger.
   *
   * @param clock the time
   * @param merged holds the states
   * @param published hands them to traffic threads
   */
  public ConfigMerger(Clock clock, MergedConfig merged, PublishedConfig published) {
    this.clock = clock;
    this.merged = merged;
    this.published = published;
    this.report = ConfigReport.of(merged, origin);
  }

  /**
   * Adds a listener, told of later changes.
   *
   * @param listener the listener
   */
  public void addListener(ConfigListener listener) {
    listeners.add(listener);
  }

  /**
   * Merges states read from the store.
   *
   * @param states the states
   * @return whether any was newer than the one held
   */
  public boolean mergeFromStore(Collection<VersionedObject> states) {
    return merge(states, ConfigOrigin.Source.STORE, "");
  }

  /**
   * Merges states told by another entry.
   *
   * @param states the states
   * @param peerName the entry
   * @return whether any was newer than the one held
   */
  public boolean mergeFromPeer(Collection<VersionedObject> states, String peerName) {
    return merge(states, ConfigOrigin.Source.PEER, peerName);
  }

  private boolean merge(
      Collection<VersionedObject> states, ConfigOrigin.Source source, String peerName) {
    if (!merged.mergeAll(states)) {
      return false;
    }
    published.publish(merged);
    origin = new ConfigOrigin(source, peerName, clock.wallMillis());
    report = ConfigReport.of(merged, origin);
    listeners.forEach(listener -> listener.configChanged(merged));
    return true;
  }

  /** Returns the merged states, to be read only. */
  public MergedConfig merged() {
    return merged;
  }

  /** Returns where the newest state came from; for any thread. */
  public ConfigOrigin origin() {
    return origin;
  }

  /** Returns what is in force and where it came from; for any thread. */
  public ConfigReport report() {
    return report;
  }
}
