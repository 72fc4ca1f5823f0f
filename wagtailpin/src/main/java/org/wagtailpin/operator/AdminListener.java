package org.wagtailpin.operator;

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
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.transport.EventLoops;

/**
 * HTTP listener for operators, separate from the listener for callers and on its own thread.
 *
 * <p>It serves pages, which must not block. If a page throws an exception, the answer has status
 * 500.
 */
public final class AdminListener implements AutoCloseable {

  private static final int MAX_REQUEST_BYTES = 8192;
  private static final int READ_TIMEOUT_SECONDS = 60;
  private static final long CLOSE_TIMEOUT_SECONDS = 5;

  private final InetSocketAddress bindAddress;
  private final Map<String, AdminPage> pages = new LinkedHashMap<>();
  private final EventLoopGroup group = EventLoops.create(1, "admin");
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel listener;

  /**
   * Creates a listener that does not listen yet.
   *
   * @param bindAddress the address to listen on, with port 0 for any free port
   * @param pages the pages, whose paths must differ
   */
  public AdminListener(InetSocketAddress bindAddress, List<AdminPage> pages) {
    this.bindAddress = bindAddress;
    pages.forEach(page -> this.pages.put(page.path(), page));
  }

  /**
   * Binds the address and starts to accept connections; waits until the address is bound.
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
                    connections.add(channel);
                    channel
                        .pipeline()
                        .addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS))
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                        .addLast(new AdminHandler(pages));
                  }
                });
    ChannelFuture bindFuture = bootstrap.bind(bindAddress).awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + bindAddress, bindFuture.cause());
    }
    listener = bindFuture.channel();
  }

  /** Returns the bound address; must be called after {@link #start}. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Stops listening, closes all connections and ends the thread. */
  @Override
  public void close() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
    }
    connections.close().awaitUninterruptibly();
    group.shutdownGracefully(0, CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
