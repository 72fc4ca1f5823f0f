package org.wagtailpin.daemon;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.eventlog.EventLogSettings;

/**
 * The settings of one entry.
 *
 * @param id the identifier, which the entry keeps over restarts, 1 to 64 characters
 * @param region the region that the entry stands in
 * @param failureDomain the failure domain that it stands in
 * @param callers where callers connect
 * @param internal where backend servers connect that call further, empty for nowhere
 * @param admin where operators connect
 * @param peers where other entries connect
 * @param metrics where metrics are read besides the operators' address, empty for nowhere
 * @param seeds addresses of other entries, asked when the store does not answer at the start
 * @param store the address of the store
 * @param hostList the address of the host list, empty if there is none
 * @param trafficThreads threads that serve calls, 1 to 64
 * @param noticeMillis how long calls are still accepted after the entry has said that it is not
 *     ready, in milliseconds
 * @param graceMillis how long calls in flight may go on after that, in milliseconds
 * @param eventLog the bounds of the event log
 * @param failureDomains the region of each failure domain, for servers that name only the latter
 * @param constants values of named constants where the configuration states none
 * @param seed the seed of the random choices, empty for one that differs at each start
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
    EventLogSettings eventLog,
    Map<String, String> failureDomains,
    Map<Tunable, Double> constants,
    Optional<Long> seed) {

  /** Copies the collections. */
  public EntrySettings {
    seeds = List.copyOf(seeds);
    failureDomains = Map.copyOf(failureDomains);
    constants = Map.copyOf(constants);
  }

  /** Creates settings without an address for metrics, failure domains and constants. */
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
        eventLog,
        Map.of(),
        Map.of(),
        seed);
  }
}
