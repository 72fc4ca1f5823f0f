package org.wagtailpin.entrypeer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.transport.EventLoops;

/**
 * Messenger over TCP; each frame is a protobuf message with its length as a varint prefix.
 *
 * <p>Each entry opens one connection to each entry to which it sends requests, and receives the
 * answers on that connection. A received frame above the maximum size closes its connection.
 */
public final class NettyPeerMessenger implements PeerMessenger, AutoCloseable {

  private static final int CLOSE_TIMEOUT_MILLIS = 2000;

  private final PeerIdentity self;
  private final AddressBook addresses;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final NettyPeerSettings settings;
  private final RequestDispatcher dispatcher;
  private final PendingRequests pendingRequests;
  private final PeerTraffic traffic = new PeerTraffic();
  private final EventLoopGroup group;
  private final EventLoop eventLoop;
  private final Bootstrap bootstrap;
  private final ChannelGroup acceptedChannels =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private Optional<Channel> listener = Optional.empty();

  /**
   * Creates a messenger that does not listen yet.
   *
   * @param self the sender of all messages of this entry
   * @param addresses the addresses of the other entries
   * @param loop runs the handlers and completes the futures
   * @param clock measures the backoff between connection attempts
   * @param random adds jitter to the backoff; used by this messenger only
   * @param settings the listen address, size limits and timeouts
   */
  public NettyPeerMessenger(
      PeerIdentity self,
      AddressBook addresses,
      ControlLoop loop,
      Clock clock,
      UniformRandomProvider random,
      NettyPeerSettings settings) {
    this.self = self;
    this.addresses = addresses;
    this.clock = clock;
    this.random = random;
    this.settings = settings;
    this.dispatcher = new RequestDispatcher(self, loop);
    this.pendingRequests = new PendingRequests(loop);
    this.group = EventLoops.create(1, "entry-peer");
    this.eventLoop = group.next();
    this.bootstrap =
        new Bootstrap()
            .channel(EventLoops.channelType())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis());
  }

  /**
   * Binds the port and starts to accept connections; waits until the port is bound.
   *
   * @return the TCP port, or the fault if it could not be bound
   */
  public ListenResult start() {
    ServerBootstrap server =
        new ServerBootstrap()
            .group(group)
            .channel(EventLoops.serverChannelType())
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new PeerChannelInitializer(
                    settings.maxFrameBytes(), traffic, this::newServerHandler));
    ChannelFuture bindFuture =
        server.bind(settings.bindAddress(), settings.port()).awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      String listenAddress = settings.bindAddress() + ":" + settings.port();
      String detail = "cannot listen: " + bindFuture.cause().getMessage();
      return new ListenResult.Failed(
          new Fault(Step.LOAD_SETTINGS, Peer.SELF, listenAddress, detail));
    }
    listener = Optional.of(bindFuture.channel());
    int port = ((InetSocketAddress) bindFuture.channel().localAddress()).getPort();
    return new ListenResult.Listening(port);
  }

  private PeerServerHandler newServerHandler() {
    return new PeerServerHandler(dispatcher, acceptedChannels);
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
    if (outgoing.getSerializedSize() > settings.maxFrameBytes()) {
      pendingRequests.failUnsent(
          id, "frame of " + outgoing.getSerializedSize() + " bytes is too long");
    } else if (group.isShuttingDown()) {
      pendingRequests.failUnsent(id, "messenger is closed");
    } else {
      PeerLink link = links.computeIfAbsent(entry, this::newLink);
      eventLoop.execute(() -> link.send(outgoing));
    }
    return reply;
  }

  /** Returns the counters of messages and bytes, which keep being updated. */
  public PeerTraffic traffic() {
    return traffic;
  }

  private PeerLink newLink(String entry) {
    return new PeerLink(
        entry, addresses, bootstrap, eventLoop, pendingRequests, settings, traffic, clock, random);
  }

  @Override
  public void setHandler(PeerFrame.BodyCase body, PeerHandler handler) {
    dispatcher.register(body, handler);
  }

  /**
   * Stops listening, closes all connections and ends the event loop. Waits at most 2 s each for the
   * accepted connections and the event loop.
   */
  @Override
  public void close() {
    listener.ifPresent(channel -> channel.close().awaitUninterruptibly());
    acceptedChannels.close().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    group
        .shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
  }
}
