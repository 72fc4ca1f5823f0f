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
 * Messenger over TCP: each frame is a protobuf message behind its length.
 *
 * <p>Each entry opens one connection to each entry that it asks, and gets the answers on it. A
 * frame above the size cap closes its connection.
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
   * Creates a messenger that neither listens nor sends yet.
   *
   * @param self how this entry names itself
   * @param addresses where the other entries are
   * @param loop runs the handlers and completes the futures
   * @param clock counts the pauses between connections
   * @param random spreads those pauses; used by this messenger only
   * @param settings the addresses and bounds
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
   * Starts to listen.
   *
   * @return the TCP port, or why it could not be had
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

  /** Returns the counts of messages and bytes. */
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

  /** Closes all connections and stops listening. */
  @Override
  public void close() {
    listener.ifPresent(channel -> channel.close().awaitUninterruptibly());
    acceptedChannels.close().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    group
        .shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
  }
}
