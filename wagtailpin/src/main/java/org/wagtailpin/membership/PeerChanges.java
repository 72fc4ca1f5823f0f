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
public final class PeerChanges {

  private final EventLog events;
  private final long silenceMillis;
  private final Map<String, Boolean> silentByPeer = new HashMap<>();

  /**
   * Creates an observer that knows no entry.
   *
   * @param events takes the events
   * @param silenceMillis from when on a silent entry is suspected, in milliseconds
   */
  public PeerChanges(EventLog events, long silenceMillis) {
    this.events = events;
    this.silenceMillis = silenceMillis;
  }

  /**
   * Notes what changed since the last time.
   *
   * @param peers all other entries that are counted
   */
  public void update(List<PeerStatus> peers) {
    Set<String> gone = new HashSet<>(silentByPeer.keySet());
    for (PeerStatus peer : peers) {
      gone.remove(peer.id());
      note(peer);
    }
    for (String peer : gone) {
      silentByPeer.remove(peer);
      events.note(Event.of(EventKind.PEER_GONE).with("peer", peer));
    }
  }

  private void note(PeerStatus peer) {
    long silent = peer.heardAgoMillis().orElse(Long.MAX_VALUE);
    boolean suspected = silent > silenceMillis;
    Boolean before = silentByPeer.put(peer.id(), suspected);
    if (!suspected && (before == null || before)) {
      events.note(Event.of(EventKind.PEER_SEEN).with("peer", peer.id()));
    } else if (suspected && before != null && !before) {
      events.note(
          Event.of(EventKind.PEER_SUSPECTED).with("peer", peer.id()).with("silentMillis", silent));
    }
  }
}
