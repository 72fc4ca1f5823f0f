package org.wagtailpin.entrypeer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * The connection to one other entry, opened when there is something to send.
 *
 * <p>All state is touched on one event loop only. Frames wait in a bounded queue while a connection
 * is being opened; after a failure, frames are refused until a pause with jitter is over.
 */
final class PeerLink {

  private final String entry;
  private final AddressBook addresses;
  private final Bootstrap bootstrap;
  private final EventLoop eventLoop;
  private final PendingRequests pending;
  private final NettyPeerSettings settings;
  private final PeerTraffic traffic;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final Queue<PeerFrame> waiting = new ArrayDeque<>();
  private final Set<Long> unanswered = new HashSet<>();
  private Optional<Channel> channel = Optional.empty();
  private Optional<InetSocketAddress> connectedTo = Optional.empty();
  private boolean connecting;
  private long backoffMillis;
  private long retryAtMillis;

  PeerLink(
      String entry,
      AddressBook addresses,
      Bootstrap bootstrap,
      EventLoop eventLoop,
      PendingRequests pending,
      NettyPeerSettings settings,
      PeerTraffic traffic,
      Clock clock,
      UniformRandomProvider random) {
    this.entry = entry;
    this.addresses = addresses;
    this.bootstrap = bootstrap;
    this.eventLoop = eventLoop;
    this.pending = pending;
    this.settings = settings;
    this.traffic = traffic;
    this.clock = clock;
    this.random = random;
  }

  void send(PeerFrame frame) {
    Optional<InetSocketAddress> address = addresses.addressOf(entry);
    if (address.isEmpty()) {
      pending.notSent(frame.getRequestId(), "address not known");
      return;
    }
    if (channel.isPresent() && !address.equals(connectedTo)) {
      dropChannel(channel.get());
    }
    if (channel.isPresent()) {
      write(channel.get(), frame);
    } else if (!connecting && clock.millis() < retryAtMillis) {
      pending.notSent(frame.getRequestId(), "waiting before the next connection");
    } else if (waiting.size() >= settings.queueFrames()) {
      pending.notSent(frame.getRequestId(), "queue is full");
    } else {
      waiting.add(frame);
      connect(address.get());
    }
  }

  private void dropChannel(Channel old) {
    var unused = old.close();
    closed(old);
  }

  private void write(Channel open, PeerFrame frame) {
    if (!open.isWritable()) {
      pending.notSent(frame.getRequestId(), "connection is congested");
      return;
    }
    if (unanswered.size() >= settings.queueFrames()) {
      // Requests that timed out are still in the set.
      unanswered.removeIf(id -> !pending.contains(id));
    }
    unanswered.add(frame.getRequestId());
    open.writeAndFlush(frame)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                lose(frame.getRequestId(), "write failed");
              }
            });
  }

  private void lose(long requestId, String detail) {
    if (unanswered.remove(requestId)) {
      pending.lose(requestId, detail);
    }
  }

  /** Notes that a request sent on this connection has its answer. */
  void answered(PeerFrame answer) {
    unanswered.remove(answer.getRequestId());
    pending.answered(answer);
  }

  private void connect(InetSocketAddress address) {
    if (connecting) {
      return;
    }
    connecting = true;
    PeerLinkHandler handler = new PeerLinkHandler(this);
    bootstrap
        .clone(eventLoop)
        .handler(new PeerChannelInitializer(settings.maxFrameBytes(), traffic, () -> handler))
        .connect(address)
        .addListener((ChannelFuture connected) -> connected(address, connected));
  }

  private void connected(InetSocketAddress address, ChannelFuture future) {
    connecting = false;
    if (!future.isSuccess()) {
      refuseWaiting("no connection: " + future.cause().getMessage());
      return;
    }
    backoffMillis = 0;
    channel = Optional.of(future.channel());
    connectedTo = Optional.of(address);
    while (!waiting.isEmpty()) {
      write(future.channel(), waiting.remove());
    }
  }

  private void refuseWaiting(String detail) {
    backOff();
    while (!waiting.isEmpty()) {
      pending.notSent(waiting.remove().getRequestId(), detail);
    }
  }

  private void backOff() {
    long doubled = Math.max(settings.minBackoffMillis(), 2 * backoffMillis);
    backoffMillis = Math.min(settings.maxBackoffMillis(), doubled);
    // Half of the pause is random, so that entries do not return together.
    long half = backoffMillis / 2;
    retryAtMillis = clock.millis() + half + random.nextLong(half + 1);
  }

  /** Notes that a connection ended; what awaits an answer on it gets none. */
  void closed(Channel ended) {
    if (channel.isPresent() && !channel.get().equals(ended)) {
      return;
    }
    channel = Optional.empty();
    for (Long requestId : Set.copyOf(unanswered)) {
      lose(requestId, "connection closed");
    }
  }
}
