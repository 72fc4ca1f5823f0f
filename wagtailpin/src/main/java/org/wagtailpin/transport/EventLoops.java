package org.wagtailpin.transport;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultEventExecutorChooserFactory;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutorChooserFactory;
import io.netty.util.concurrent.ThreadPerTaskExecutor;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.Executor;

/** Creates event loops and selects the matching channel types: epoll if available, else NIO. */
public final class EventLoops {

  private EventLoops() {}

  /**
   * Creates event loops on daemon threads.
   *
   * @param threads the number of loops, each on a thread of its own, at least 1
   * @param name the prefix of the thread names
   * @return the loops; the caller must shut them down
   */
  public static EventLoopGroup create(int threads, String name) {
    return create(threads, name, DefaultEventExecutorChooserFactory.INSTANCE);
  }

  /**
   * Creates event loops with thread affinity: a channel opened on one of their threads is
   * registered with the loop of that thread.
   *
   * @param threads the number of loops, each on a thread of its own, at least 1
   * @param name the prefix of the thread names
   * @return the loops; the caller must shut them down
   */
  public static EventLoopGroup createAffine(int threads, String name) {
    return create(threads, name, new AffineChooserFactory());
  }

  @SuppressWarnings("deprecation") // AsyncHttpClient detects the transport by these types
  private static EventLoopGroup create(
      int threads, String name, EventExecutorChooserFactory chooser) {
    Executor executor = new ThreadPerTaskExecutor(new DefaultThreadFactory(name, true));
    if (Epoll.isAvailable()) {
      return new EpollEventLoopGroup(
          threads, executor, chooser, DefaultSelectStrategyFactory.INSTANCE);
    }
    return new NioEventLoopGroup(
        threads,
        executor,
        chooser,
        SelectorProvider.provider(),
        DefaultSelectStrategyFactory.INSTANCE);
  }

  /** Returns the channel type for listening sockets. */
  public static Class<? extends ServerSocketChannel> serverChannelType() {
    return Epoll.isAvailable() ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
  }

  /** Returns the channel type for outgoing connections. */
  public static Class<? extends SocketChannel> channelType() {
    return Epoll.isAvailable() ? EpollSocketChannel.class : NioSocketChannel.class;
  }
}
