package org.wagtailpin.entrypeer.memory;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.PeerHandler;
import org.wagtailpin.entrypeer.PeerIdentity;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.PendingRequests;
import org.wagtailpin.entrypeer.RequestDispatcher;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/** Messenger of one entry that is connected to a {@link MemoryPeerNetwork}. */
public final class MemoryPeerMessenger implements PeerMessenger {

  private final PeerIdentity self;
  private final MemoryPeerNetwork network;
  private final RequestDispatcher dispatcher;
  private final PendingRequests pendingRequests;

  MemoryPeerMessenger(PeerIdentity self, ControlLoop loop, MemoryPeerNetwork network) {
    this.self = self;
    this.network = network;
    this.dispatcher = new RequestDispatcher(self, loop);
    this.pendingRequests = new PendingRequests(loop);
  }

  @Override
  public String self() {
    return self.id();
  }

  @Override
  public CompletableFuture<PeerReply> request(
      String entry, PeerFrame.Builder frame, long timeoutMillis) {
    long id = pendingRequests.nextId();
    CompletableFuture<PeerReply> reply = pendingRequests.add(id, entry, timeoutMillis);
    PeerFrame outgoing =
        dispatcher.setCommonFields(frame).setIsAnswer(false).setRequestId(id).build();
    network.send(self.id(), entry, new MemoryMessage(this, Optional.empty(), outgoing));
    return reply;
  }

  @Override
  public void setHandler(PeerFrame.BodyCase body, PeerHandler handler) {
    dispatcher.register(body, handler);
  }

  void receive(MemoryMessage message) {
    if (message.frame().getIsAnswer()) {
      pendingRequests.onAnswer(message.frame());
      return;
    }
    MemoryPeerMessenger requester = message.sender();
    dispatcher.dispatch(
        message.frame(),
        answer ->
            network.send(
                self.id(),
                requester.self(),
                new MemoryMessage(this, Optional.of(requester), answer)));
  }
}
