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

/** Factory of event loops, and of the channel types that run on them. */
public final class EventLoops {

  private EventLoops() {}

  /**
   * Creates event loops on daemon threads.
   *
   * @param threads how many loops, each on a thread of its own, at least 1
   * @param name the start of the threads' names
   * @return the loops, to be shut down by their owner
   */
  public static EventLoopGroup create(int threads, String name) {
    return create(threads, name, DefaultEventExecutorChooserFactory.INSTANCE);
  }

  /**
   * Creates event loops that keep work on one thread: a channel opened from one of their threads
   * runs on that thread.
   *
   * @param threads how many loops, each on a thread of its own, at least 1
   * @param name the start of the threads' names
   * @return the loops, to be shut down by their owner
   */
  public static EventLoopGroup createAffine(int threads, String name) {
    return create(threads, name, new AffineChooserFactory());
  }

  @SuppressWarnings("deprecation") // AsyncHttpClient tells the transport by these group types.
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

  /** Returns the type of listening channels. */
  public static Class<? extends ServerSocketChannel> serverChannelType() {
    return Epoll.isAvailable() ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
  }

  /** Returns the type of connecting channels. */
  public static Class<? extends SocketChannel> channelType() {
    return Epoll.isAvailable() ? EpollSocketChannel.class : NioSocketChannel.class;
  }
}
