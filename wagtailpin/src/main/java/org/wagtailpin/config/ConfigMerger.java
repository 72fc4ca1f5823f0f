package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.tinylog.Logger;
import org.wagtailpin.clock.Clock;

/**
 * Merges object states from the store and from peers into the active configuration.
 *
 * <p>All methods except {@link #origin} and {@link #report} must be called on the control thread.
 * The states of one call are published in one snapshot, so that traffic threads see either all or
 * none of them.
 */
public final class ConfigMerger {

  private final Clock clock;
  private final MergedConfig merged;
  private final PublishedConfig published;
  private final List<ConfigListener> listeners = new ArrayList<>();
  private Optional<ConfigOrigin> unpublished = Optional.empty();
  private boolean publicationFailed;
  private volatile ConfigOrigin origin = ConfigOrigin.none();
  private volatile ConfigReport report;

  /**
   * Creates a merger.
   *
   * @param clock gives the time at which a configuration becomes active
   * @param merged the states to merge into; not to be changed by others
   * @param published receives a snapshot after each change
   */
  public ConfigMerger(Clock clock, MergedConfig merged, PublishedConfig published) {
    this.clock = clock;
    this.merged = merged;
    this.published = published;
    this.report = ConfigReport.of(merged, origin);
  }

  /**
   * Adds a listener for later changes.
   *
   * @param listener called on the control thread, in the order of registration
   */
  public void addListener(ConfigListener listener) {
    listeners.add(listener);
  }

  /**
   * Merges states read from the store.
   *
   * @param states the states, in any order
   * @return whether any was newer than the one held
   */
  public boolean mergeFromStore(Collection<VersionedObject> states) {
    return merge(states, ConfigOrigin.Source.STORE, "");
  }

  /**
   * Merges states received from another entry.
   *
   * @param states the states, in any order
   * @param peerName the name of the entry that sent them
   * @return whether any was newer than the one held
   */
  public boolean mergeFromPeer(Collection<VersionedObject> states, String peerName) {
    return merge(states, ConfigOrigin.Source.PEER, peerName);
  }

  private boolean merge(
      Collection<VersionedObject> states, ConfigOrigin.Source source, String peerName) {
    Optional<ConfigOrigin> before = unpublished;
    // Set first, since the merge may fail after some states, which then count as held.
    unpublished = Optional.of(new ConfigOrigin(source, peerName, 0));
    if (!merged.mergeAll(states)) {
      unpublished = before;
    }
    return publishChange();
  }

  /**
   * Publishes a change whose publication failed when it was merged, if there is one. Its states
   * count as held, so that nothing else might come that is newer.
   */
  public void publishMissed() {
    try {
      publishChange();
    } catch (RuntimeException | Error e) {
      if (!publicationFailed) {
        publicationFailed = true;
        Logger.error(e, "failed to publish the configuration");
      }
    }
  }

  private boolean publishChange() {
    if (unpublished.isEmpty()) {
      return false;
    }
    ConfigOrigin from = unpublished.get();
    published.publish(merged);
    origin = new ConfigOrigin(from.source(), from.peerName(), clock.wallMillis());
    report = ConfigReport.of(merged, origin);
    unpublished = Optional.empty();
    publicationFailed = false;
    listeners.forEach(this::notifyOfChange);
    return true;
  }

  /** An exception of one listener must not hide the change from the others or from the caller. */
  private void notifyOfChange(ConfigListener listener) {
    try {
      listener.configChanged(merged);
    } catch (RuntimeException | Error e) {
      Logger.error(e, "a listener of the configuration failed");
    }
  }

  /**
   * Marks the merged states as complete: an object that is not held did not exist at a number.
   *
   * @param ticket the number
   */
  public void markCompleteAsOf(long ticket) {
    merged.markCompleteAsOf(ticket);
  }

  /** Returns the merged states, which the caller must not modify. */
  public MergedConfig merged() {
    return merged;
  }

  /** Returns where the newest state was received from. Thread-safe. */
  public ConfigOrigin origin() {
    return origin;
  }

  /** Returns a report of the active configuration and its origin. Thread-safe. */
  public ConfigReport report() {
    return report;
  }
}
