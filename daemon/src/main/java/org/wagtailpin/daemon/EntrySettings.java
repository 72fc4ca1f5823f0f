package org.wagtailpin.daemon;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.eventlog.EventLogSettings;

/**
 * The settings of one entry, as read from its settings file.
 *
 * @param id the entry's identifier, kept across restarts, 1 to 64 characters
 * @param region the region of the entry
 * @param failureDomain the failure domain of the entry
 * @param callers the listen address for callers
 * @param internal the listen address for calls made by backend servers, empty for no such listener
 * @param admin the listen address for operators
 * @param peers the listen address for other entries
 * @param metrics an additional listen address that serves only metrics, empty for none; the
 *     operators' address serves them too
 * @param seeds addresses of other entries, contacted if the store does not answer at startup
 * @param store the URL of the store
 * @param hostList the URL of the host list, empty if there is none
 * @param trafficThreads number of threads that serve calls, 1 to 64
 * @param noticeMillis how long a leaving entry still accepts calls after it has reported that it is
 *     not ready, in milliseconds
 * @param graceMillis how long calls in flight may continue after that, in milliseconds
 * @param propagationMillis how soon a change of the configuration must be in force at all entries,
 *     in milliseconds
 * @param withdrawalMillis how soon a backend server that leaves must get no new work from any
 *     entry, in milliseconds
 * @param firstStart whether all entries are started for the first time, so that no one has a
 *     configuration yet
 * @param eventLog the limits of the event log
 * @param failureDomains the region of each failure domain, for servers that register only their
 *     failure domain
 * @param constants values of tunables for which the configuration has none
 * @param seed the seed of the random number generators, empty for a different one at each start
 */
public record EntrySettings(
    String id,
    String region,
    String failureDomain,
    ListenAddress callers,
    Optional<ListenAddress> internal,
    ListenAddress admin,
    ListenAddress peers,
    Optional<ListenAddress> metrics,
    List<ListenAddress> seeds,
    URI store,
    Optional<URI> hostList,
    int trafficThreads,
    long noticeMillis,
    long graceMillis,
    long propagationMillis,
    long withdrawalMillis,
    boolean firstStart,
    EventLogSettings eventLog,
    Map<String, String> failureDomains,
    Map<Tunable, Double> constants,
    Optional<Long> seed) {

  /** Default of {@link #propagationMillis} and {@link #withdrawalMillis}. */
  public static final long DEFAULT_PROPAGATION_MILLIS = 2_000;

  /** Makes immutable copies of the collections. */
  public EntrySettings {
    seeds = List.copyOf(seeds);
    failureDomains = Map.copyOf(failureDomains);
    constants = Map.copyOf(constants);
  }

  /** Creates settings without a metrics address, failure domains or values of tunables. */
  public EntrySettings(
      String id,
      String region,
      String failureDomain,
      ListenAddress callers,
      Optional<ListenAddress> internal,
      ListenAddress admin,
      ListenAddress peers,
      List<ListenAddress> seeds,
      URI store,
      Optional<URI> hostList,
      int trafficThreads,
      long noticeMillis,
      long graceMillis,
      EventLogSettings eventLog,
      Optional<Long> seed) {
    this(
        id,
        region,
        failureDomain,
        callers,
        internal,
        admin,
        peers,
        Optional.empty(),
        seeds,
        store,
        hostList,
        trafficThreads,
        noticeMillis,
        graceMillis,
        DEFAULT_PROPAGATION_MILLIS,
        DEFAULT_PROPAGATION_MILLIS,
        false,
        eventLog,
        Map.of(),
        Map.of(),
        seed);
  }
}
