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

/** Messenger of one entry on a {@link MemoryPeerNetwork}. */
public final class MemoryPeerMessenger implements PeerMessenger {

  private final PeerIdentity self;
  private final MemoryPeerNetwork network;
  private final RequestDispatcher dispatcher;
  private final PendingRequests pending;

  MemoryPeerMessenger(PeerIdentity self, ControlLoop loop, MemoryPeerNetwork network) {
    this.self = self;
    this.network = network;
    this.dispatcher = new RequestDispatcher(self, loop);
    this.pending = new PendingRequests(loop);
  }

  @Override
  public String self() {
    return self.id();
  }

  @Override
  public CompletableFuture<PeerReply> request(
      String entry, PeerFrame.Builder frame, long timeoutMillis) {
    long id = pending.nextId();
    CompletableFuture<PeerReply> reply = pending.await(id, entry, timeoutMillis);
    PeerFrame stamped = dispatcher.stamp(frame).setIsAnswer(false).setRequestId(id).build();
    network.carry(self.id(), entry, new MemoryMessage(this, Optional.empty(), stamped));
    return reply;
  }

  @Override
  public void answer(PeerFrame.BodyCase body, PeerHandler handler) {
    dispatcher.register(body, handler);
  }

  void receive(MemoryMessage message) {
    if (message.frame().getIsAnswer()) {
      pending.answered(message.frame());
      return;
    }
    MemoryPeerMessenger asker = message.sender();
    dispatcher.dispatch(
        message.frame(),
        answer ->
            network.carry(
                self.id(), asker.self(), new MemoryMessage(this, Optional.of(asker), answer)));
  }
}
