package org.wagtailpin.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;

/** Notes in the log which other entries are heard, silent and no longer counted. */
public final class PeerEventRecorder {

  private final EventLog events;
  private final long suspicionTimeoutMillis;
  private final Map<String, Boolean> suspectedByPeer = new HashMap<>();

  /**
   * Creates an observer that knows no entry.
   *
   * @param events takes the events
   * @param suspicionTimeoutMillis from when on a silent entry is suspected, in milliseconds
   */
  public PeerEventRecorder(EventLog events, long suspicionTimeoutMillis) {
    this.events = events;
    this.suspicionTimeoutMillis = suspicionTimeoutMillis;
  }

  /**
   * Notes what changed since the last time.
   *
   * @param peers all other entries that are counted
   */
  public void update(List<PeerStatus> peers) {
    Set<String> gone = new HashSet<>(suspectedByPeer.keySet());
    for (PeerStatus peer : peers) {
      gone.remove(peer.id());
      recordChange(peer);
    }
    for (String peer : gone) {
      suspectedByPeer.remove(peer);
      events.record(Event.of(EventKind.PEER_GONE).with("peer", peer));
    }
  }

  private void recordChange(PeerStatus peer) {
    long silent = peer.heardAgoMillis().orElse(Long.MAX_VALUE);
    boolean suspected = silent > suspicionTimeoutMillis;
    Boolean before = suspectedByPeer.put(peer.id(), suspected);
    if (!suspected && (before == null || before)) {
      events.record(Event.of(EventKind.PEER_SEEN).with("peer", peer.id()));
    } else if (suspected && before != null && !before) {
      events.record(
          Event.of(EventKind.PEER_SUSPECTED).with("peer", peer.id()).with("silentMillis", silent));
    }
  }
}
