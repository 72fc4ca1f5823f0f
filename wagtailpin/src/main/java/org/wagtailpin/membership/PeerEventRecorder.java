package org.wagtailpin.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;

/** Records in the event log when other entries are seen, suspected and no longer counted. */
public final class PeerEventRecorder {

  private final EventLog events;
  private final long suspicionTimeoutMillis;
  private final Map<String, Boolean> suspectedByPeer = new HashMap<>();

  /**
   * Creates a recorder to which all entries are new.
   *
   * @param events receives the events
   * @param suspicionTimeoutMillis after how long a silence an entry is suspected, in milliseconds
   */
  public PeerEventRecorder(EventLog events, long suspicionTimeoutMillis) {
    this.events = events;
    this.suspicionTimeoutMillis = suspicionTimeoutMillis;
  }

  /**
   * Records the changes since the previous call.
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
      events.recordEvent(Event.of(EventKind.PEER_GONE).with("peer", peer));
    }
  }

  private void recordChange(PeerStatus peer) {
    long silentMillis = peer.heardAgoMillis().orElse(Long.MAX_VALUE);
    boolean suspected = silentMillis > suspicionTimeoutMillis;
    Boolean wasSuspected = suspectedByPeer.put(peer.id(), suspected);
    if (!suspected && (wasSuspected == null || wasSuspected)) {
      events.recordEvent(Event.of(EventKind.PEER_SEEN).with("peer", peer.id()));
    } else if (suspected && wasSuspected != null && !wasSuspected) {
      events.recordEvent(
          Event.of(EventKind.PEER_SUSPECTED)
              .with("peer", peer.id())
              .with("silentMillis", silentMillis));
    }
  }
}
