package org.wagtailpin.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.wagtailpin.transport.EventLoops;

/**
 * A bound TCP port. Connections wait in the system's queue until they are accepted, so that a
 * caller that comes while an entry starts is not turned away.
 */
public final class CallerPort implements AutoCloseable {

  private static final int BACKLOG = 1_024;
  private static final int LOW_SHARE = 2;

  private final EventLoopGroup acceptor = EventLoops.create(1, "acceptor");
  private final AtomicReference<Consumer<SocketChannel>> setUp =
      new AtomicReference<>(Channel::close);
  private final Channel server;

  /**
   * Binds a port.
   *
   * @param settings the address and the bounds of its connections
   * @param loops the event loops that serve the connections, from {@link EventLoops#createAffine}
   * @throws IOException if the address can't be listened on
   */
  public CallerPort(CallerSettings settings, EventLoopGroup loops) throws IOException {
    int unsentBytes = settings.limits().unsentBytes();
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(acceptor, loops)
            .channel(EventLoops.serverChannelType())
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(unsentBytes / LOW_SHARE, unsentBytes))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    setUp.get().accept(channel);
                  }
                });
    InetSocketAddress address = new InetSocketAddress(settings.address(), settings.port());
    ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      acceptor.shutdownGracefully();
      throw new IOException("cannot listen on " + address, bound.cause());
    }
    server = bound.channel();
  }

  /** Returns the address that is listened on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  /**
   * Accepts the connections that wait, and all that come.
   *
   * @param connections sets up the handlers of each
   */
  void accept(Consumer<SocketChannel> connections) {
    setUp.set(connections);
    server.config().setAutoRead(true);
  }

  /** Ends listening; connections that were accepted stay. */
  ChannelFuture stopListening() {
    return server.close();
  }

  /** Ends listening, and the thread that accepts connections. */
  @Override
  public void close() {
    server.close();
    acceptor.shutdownGracefully();
  }

  boolean acceptorEnded() {
    return acceptor.isTerminated();
  }
}
