package org.wagtailpin.standins.backend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.transport.EventLoops;

/**
 * Backend server that runs requests in slots with seeded service times and injects faults.
 *
 * <p>It speaks HTTP/1.1 with keep-alive, reports its load, returns attempt identifiers, honours
 * deadlines and cancellation, and answers load probes. Its faults can be changed at any time.
 */
public final class BackendServerStandIn implements AutoCloseable {

  private static final int BACKLOG = 4096;

  private final ServerProfile profile;
  private final Clock clock;
  private final EventLoopGroup group;
  private final ExecutionCounter executionCounter;
  private final AtomicReference<ServerFaults> faults = new AtomicReference<>(ServerFaults.none());
  private final AtomicLong requests = new AtomicLong();
  private final AtomicLong probes = new AtomicLong();
  private final AtomicLong refusals = new AtomicLong();
  private final AtomicLong peakConnections = new AtomicLong();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final SlotQueue slots;
  private final ServiceTimeSampler serviceTimes;
  private Channel listener;

  /**
   * Creates a server that does not listen yet.
   *
   * @param profile its behaviour without faults
   * @param clock measures deadlines and the cold start
   * @param group the event loops it runs on, closed by their owner
   * @param executionCounter counts the executions; several servers may share it
   */
  public BackendServerStandIn(
      ServerProfile profile, Clock clock, EventLoopGroup group, ExecutionCounter executionCounter) {
    this.profile = profile;
    this.clock = clock;
    this.group = group;
    this.executionCounter = executionCounter;
    this.slots = new SlotQueue(profile.slots(), profile.queueLimit());
    this.serviceTimes = new ServiceTimeSampler(profile, clock.millis());
  }

  /**
   * Begins to listen.
   *
   * @param address the address to listen on; port 0 picks a free one
   * @return the address it listens on
   */
  public InetSocketAddress start(InetSocketAddress address) {
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(EventLoops.serverChannelType())
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connections.add(channel);
                    peakConnections.accumulateAndGet(connections.size(), Math::max);
                    channel.pipeline().addLast(new HttpServerCodec());
                    channel.pipeline().addLast(new BackendServerHandler(BackendServerStandIn.this));
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
    return address();
  }

  /** Returns the address it listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Returns the faults in force. */
  public ServerFaults faults() {
    return faults.get();
  }

  /**
   * Changes the faults.
   *
   * @param changed the faults from now on
   */
  public void setFaults(ServerFaults changed) {
    faults.set(changed);
  }

  /** Returns its behaviour without faults. */
  public ServerProfile profile() {
    return profile;
  }

  /** Returns the counter of its executions, which other servers may share. */
  public ExecutionCounter executionCounter() {
    return executionCounter;
  }

  /** Returns how many requests it received, excluding load probes. */
  public long requests() {
    return requests.get();
  }

  /** Returns how many load probes it received. */
  public long probes() {
    return probes.get();
  }

  /** Returns how many requests it refused without running them. */
  public long refusals() {
    return refusals.get();
  }

  /** Returns the highest number of connections open at the same time. */
  public long peakConnections() {
    return peakConnections.get();
  }

  /** Closes all open connections, as a crash of the server would. */
  public void dropConnections() {
    connections.close().syncUninterruptibly();
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
    }
    dropConnections();
  }

  Clock clock() {
    return clock;
  }

  SlotQueue slots() {
    return slots;
  }

  double nextServiceMillis(double requestFactor) {
    return serviceTimes.nextMillis(clock.millis(), requestFactor * faults().slowFactor());
  }

  void countRequest() {
    requests.incrementAndGet();
  }

  void countProbe() {
    probes.incrementAndGet();
  }

  void countRefusal() {
    refusals.incrementAndGet();
  }
}
