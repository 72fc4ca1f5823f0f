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
 * The connection to one other entry, opened on demand when a frame is sent.
 *
 * <p>All methods run on one event loop. Frames wait in a bounded queue while a connection is being
 * opened. After a failed attempt, frames are rejected until an exponential backoff with jitter has
 * passed.
 */
final class PeerLink {

  private final String entry;
  private final AddressBook addresses;
  private final Bootstrap bootstrap;
  private final EventLoop eventLoop;
  private final PendingRequests pendingRequests;
  private final NettyPeerSettings settings;
  private final PeerTraffic traffic;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final Queue<PeerFrame> queuedFrames = new ArrayDeque<>();
  private final Set<Long> unansweredIds = new HashSet<>();
  private Optional<Channel> channel = Optional.empty();
  private Optional<InetSocketAddress> connectedAddress = Optional.empty();
  private boolean connecting;
  private long backoffMillis;
  private long retryAtMillis;

  PeerLink(
      String entry,
      AddressBook addresses,
      Bootstrap bootstrap,
      EventLoop eventLoop,
      PendingRequests pendingRequests,
      NettyPeerSettings settings,
      PeerTraffic traffic,
      Clock clock,
      UniformRandomProvider random) {
    this.entry = entry;
    this.addresses = addresses;
    this.bootstrap = bootstrap;
    this.eventLoop = eventLoop;
    this.pendingRequests = pendingRequests;
    this.settings = settings;
    this.traffic = traffic;
    this.clock = clock;
    this.random = random;
  }

  void send(PeerFrame frame) {
    Optional<InetSocketAddress> address = addresses.addressOf(entry);
    if (address.isEmpty()) {
      pendingRequests.failUnsent(frame.getRequestId(), "address not known");
      return;
    }
    if (channel.isPresent() && !address.equals(connectedAddress)) {
      closeChannel(channel.get());
    }
    if (channel.isPresent()) {
      write(channel.get(), frame);
    } else if (!connecting && clock.millis() < retryAtMillis) {
      pendingRequests.failUnsent(frame.getRequestId(), "waiting before the next connection");
    } else if (queuedFrames.size() >= settings.maxQueuedFrames()) {
      pendingRequests.failUnsent(frame.getRequestId(), "queue is full");
    } else {
      queuedFrames.add(frame);
      connect(address.get());
    }
  }

  private void closeChannel(Channel old) {
    var unused = old.close();
    onChannelClosed(old);
  }

  private void write(Channel openChannel, PeerFrame frame) {
    if (!openChannel.isWritable()) {
      pendingRequests.failUnsent(frame.getRequestId(), "connection is congested");
      return;
    }
    if (unansweredIds.size() >= settings.maxQueuedFrames()) {
      // Requests that have timed out are not removed from the set, so remove them here.
      unansweredIds.removeIf(id -> !pendingRequests.contains(id));
    }
    unansweredIds.add(frame.getRequestId());
    openChannel
        .writeAndFlush(frame)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                failUnanswered(frame.getRequestId(), "write failed");
              }
            });
  }

  private void failUnanswered(long requestId, String detail) {
    if (unansweredIds.remove(requestId)) {
      pendingRequests.failUnanswered(requestId, detail);
    }
  }

  /** Completes the request on this connection to which an answer belongs. */
  void onAnswer(PeerFrame answer) {
    unansweredIds.remove(answer.getRequestId());
    pendingRequests.onAnswer(answer);
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
        .addListener((ChannelFuture connected) -> onConnectCompleted(address, connected));
  }

  private void onConnectCompleted(InetSocketAddress address, ChannelFuture future) {
    connecting = false;
    if (!future.isSuccess()) {
      failQueued("no connection: " + future.cause().getMessage());
      return;
    }
    backoffMillis = 0;
    channel = Optional.of(future.channel());
    connectedAddress = Optional.of(address);
    while (!queuedFrames.isEmpty()) {
      write(future.channel(), queuedFrames.remove());
    }
  }

  private void failQueued(String detail) {
    backOff();
    while (!queuedFrames.isEmpty()) {
      pendingRequests.failUnsent(queuedFrames.remove().getRequestId(), detail);
    }
  }

  private void backOff() {
    long doubled = Math.max(settings.minBackoffMillis(), 2 * backoffMillis);
    backoffMillis = Math.min(settings.maxBackoffMillis(), doubled);
    // Half of the backoff is random, so that entries do not reconnect at the same time.
    long half = backoffMillis / 2;
    retryAtMillis = clock.millis() + half + random.nextLong(half + 1);
  }

  /** Fails all requests that await an answer on a closed channel. */
  void onChannelClosed(Channel closedChannel) {
    if (channel.isPresent() && !channel.get().equals(closedChannel)) {
      return;
    }
    channel = Optional.empty();
    for (Long requestId : Set.copyOf(unansweredIds)) {
      failUnanswered(requestId, "connection closed");
    }
  }
}
