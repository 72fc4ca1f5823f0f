package org.wagtailpin.standins.store;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.store.memory.FaultyStore;
import org.wagtailpin.store.memory.MemoryStore;
import org.wagtailpin.store.memory.StoreFaults;
import org.wagtailpin.transport.EventLoops;

/**
 * Stand-in for the platform's store: an in-memory store served over HTTP.
 *
 * <p>Keys survive {@link #stop()} followed by {@link #start()}, as in a real store after an outage.
 */
public final class StoreStandIn implements AutoCloseable {

  private static final int MAX_REQUEST_BYTES = 2 * MemoryStore.MAX_VALUE_BYTES;
  private static final long LOST_CALL_TIMEOUT_MILLIS = 60_000;
  private static final long CLOSE_TIMEOUT_SECONDS = 5;
  private static final int BACKLOG = 1024;

  private final InetSocketAddress bindAddress;
  private final ThreadControlLoop loop = new ThreadControlLoop("store-standin");
  private final FaultyStore store;
  private final CallCounts counts = new CallCounts();
  private final StoreCopies copies = new StoreCopies();
  private final EventLoopGroup group = EventLoops.create(1, "store-standin-io");
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private InetSocketAddress boundAddress;
  private Channel listener;

  /**
   * Creates a stand-in that does not listen until {@link #start()} is called.
   *
   * @param bindAddress the address to listen on; port 0 selects any free port
   * @param seed the seed of the random fault decisions
   */
  public StoreStandIn(InetSocketAddress bindAddress, long seed) {
    this.bindAddress = bindAddress;
    this.boundAddress = bindAddress;
    SystemClock clock = new SystemClock();
    this.store =
        new FaultyStore(new MemoryStore(clock, loop), clock, loop, seed, LOST_CALL_TIMEOUT_MILLIS);
  }

  /**
   * Starts listening. After {@link #stop()} it listens on the same port as before.
   *
   * @throws IllegalStateException if the address cannot be bound
   */
  public void start() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(EventLoops.serverChannelType())
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connections.add(channel);
                    channel
                        .pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                        .addLast(new StoreRequestHandler(store, counts, copies));
                  }
                });
    ChannelFuture bound = bootstrap.bind(boundAddress).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + boundAddress, bound.cause());
    }
    listener = bound.channel();
    boundAddress = (InetSocketAddress) listener.localAddress();
  }

  /** Stops listening and closes all connections. Keys are kept for the next start. */
  public void stop() {
    listener.close().syncUninterruptibly();
    connections.close().syncUninterruptibly();
  }

  /** Returns the URI at which the stand-in listens or, if stopped, last listened. */
  public URI address() {
    return URI.create(
        "http://" + bindAddress.getAddress().getHostAddress() + ":" + boundAddress.getPort());
  }

  /**
   * Replaces the faults that the store injects.
   *
   * @param faults the faults that apply from now on
   */
  public void changeFaults(StoreFaults faults) {
    store.changeFaults(faults);
  }

  /** Makes a copy of the content, without leases and their keys, and keeps it for a restore. */
  public void copy() {
    copies.take(store);
  }

  /**
   * Restores the last copy, which begins the next era of the store.
   *
   * @throws IllegalStateException if no copy was made
   */
  public void restore() {
    if (!copies.restore(store)) {
      throw new IllegalStateException("no copy of the store was made");
    }
  }

  /** Returns the live call counters; they keep counting after this call. */
  public CallCounts counts() {
    return counts;
  }

  /** Stops the stand-in and releases its threads. It cannot be started again. */
  @Override
  public void close() {
    if (listener != null) {
      stop();
    }
    loop.close();
    group.shutdownGracefully(0, CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
