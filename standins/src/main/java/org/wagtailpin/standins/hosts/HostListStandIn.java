package org.wagtailpin.standins.hosts;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.hostlist.Host;
import org.wagtailpin.transport.EventLoops;

/** Stand-in for the platform's host list: an in-memory list served over HTTP. */
public final class HostListStandIn implements AutoCloseable {

  private static final int MAX_REQUEST_BYTES = 65_536;
  private static final long CLOSE_TIMEOUT_SECONDS = 5;

  private final InetSocketAddress bindAddress;
  private final LaggingHosts hosts;
  private final EventLoopGroup group = EventLoops.create(1, "hosts-standin");
  private Optional<Channel> listener = Optional.empty();

  /**
   * Creates a stand-in that does not listen until {@link #start()} is called.
   *
   * @param bindAddress the address to listen on; port 0 selects any free port
   * @param clock the clock that measures the lag
   * @param lagMillis delay before a change becomes visible, in milliseconds, at least 0
   */
  public HostListStandIn(InetSocketAddress bindAddress, Clock clock, long lagMillis) {
    this.bindAddress = bindAddress;
    this.hosts = new LaggingHosts(clock, lagMillis);
  }

  /**
   * Starts listening.
   *
   * @throws IllegalStateException if the address cannot be bound
   */
  public void start() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(EventLoops.serverChannelType())
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                        .addLast(new HostListRequestHandler(hosts));
                  }
                });
    ChannelFuture bound = bootstrap.bind(bindAddress).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + bindAddress, bound.cause());
    }
    listener = Optional.of(bound.channel());
  }

  /**
   * Returns the URI at which the stand-in listens.
   *
   * @throws IllegalStateException if it has not been started
   */
  public URI address() {
    Channel channel =
        listener.orElseThrow(
            () -> new IllegalStateException("host list stand-in has not been started"));
    InetSocketAddress bound = (InetSocketAddress) channel.localAddress();
    return URI.create("http://" + bound.getAddress().getHostAddress() + ":" + bound.getPort());
  }

  /**
   * Sets the delay before a change becomes visible. It also applies to pending changes.
   *
   * @param millis the lag in milliseconds, at least 0
   */
  public void setLagMillis(long millis) {
    hosts.setLagMillis(millis);
  }

  /**
   * Adds a host, or replaces the host of the same name, once the lag has passed.
   *
   * @param host the host in its new state
   */
  public void put(Host host) {
    hosts.put(host);
  }

  /** Stops the stand-in and releases its threads. It cannot be started again. */
  @Override
  public void close() {
    listener.ifPresent(channel -> channel.close().awaitUninterruptibly());
    group
        .shutdownGracefully(0, CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
