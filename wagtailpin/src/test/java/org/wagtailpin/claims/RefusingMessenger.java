package org.wagtailpin.claims;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.entrypeer.PeerHandler;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/** Messenger for which connections to selected entries are refused. */
final class RefusingMessenger implements PeerMessenger {

  private final PeerMessenger messenger;
  private final Set<String> unreachable = new HashSet<>();

  RefusingMessenger(PeerMessenger messenger) {
    this.messenger = messenger;
  }

  void refuse(String entry) {
    unreachable.add(entry);
  }

  @Override
  public String self() {
    return messenger.self();
  }

  @Override
  public CompletableFuture<PeerReply> request(
      String entry, PeerFrame.Builder frame, long timeoutMillis) {
    if (unreachable.contains(entry)) {
      Fault fault = new Fault(Step.CONNECT, Peer.ENTRY_PEER, entry, "refused");
      return CompletableFuture.completedFuture(new PeerReply.NotSent(fault));
    }
    return messenger.request(entry, frame, timeoutMillis);
  }

  @Override
  public void setHandler(PeerFrame.BodyCase body, PeerHandler handler) {
    messenger.setHandler(body, handler);
  }
}
