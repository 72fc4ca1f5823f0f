package org.wagtailpin.membership;

import java.util.concurrent.CompletableFuture;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.PeerHandler;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.HeartbeatAck;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * Faulty messenger that acknowledges each heartbeat itself instead of sending it, so that its entry
 * takes shares without the promises of other entries.
 */
final class SelfAcknowledgingMessenger implements PeerMessenger {

  private static final long COUNTED_FOR_MILLIS = 5000;

  private final PeerMessenger base;
  private final ControlLoop loop;

  SelfAcknowledgingMessenger(PeerMessenger base, ControlLoop loop) {
    this.base = base;
    this.loop = loop;
  }

  @Override
  public String self() {
    return base.self();
  }

  @Override
  public CompletableFuture<PeerReply> request(
      String entry, PeerFrame.Builder frame, long timeoutMillis) {
    HeartbeatAck ack =
        HeartbeatAck.newBuilder()
            .setCountsYou(true)
            .setRegistered(true)
            .setCountedForMillis(COUNTED_FOR_MILLIS)
            .build();
    PeerFrame answer =
        PeerFrame.newBuilder()
            .setVersion(1)
            .setSender(entry)
            .setIncarnation(1)
            .setIsAnswer(true)
            .setHeartbeatAck(ack)
            .build();
    CompletableFuture<PeerReply> reply = new CompletableFuture<>();
    loop.execute(() -> reply.complete(new PeerReply.Answered(answer)));
    return reply;
  }

  @Override
  public void setHandler(PeerFrame.BodyCase body, PeerHandler handler) {
    // Heartbeats of other entries are ignored as well.
  }
}
