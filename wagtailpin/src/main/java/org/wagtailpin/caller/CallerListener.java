package org.wagtailpin.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.call.CallEnvironment;
import org.wagtailpin.transport.EventLoops;

/** A TCP port on which callers are served over HTTP/1.1. */
public final class CallerListener {

  private static final int BACKLOG = 1_024;
  private static final int LOW_SHARE = 2;

  private final CallerSettings settings;
  private final EventLoopGroup loops;
  private final EventLoopGroup acceptor;
  private final ListenerContext context;
  private Channel server;
  private Optional<CompletableFuture<Integer>> drained = Optional.empty();

  /**
   * Creates a listener that does not listen yet.
   *
   * @param settings the settings
   * @param loops the event loops that serve the connections, from {@link EventLoops#createAffine}
   * @param environment what calls work with
   */
  public CallerListener(
      CallerSettings settings, EventLoopGroup loops, CallEnvironment environment) {
    this.settings = settings;
    this.loops = loops;
    this.acceptor = EventLoops.create(1, "acceptor");
    RequestIds ids =
        new RequestIds(settings.entry(), RandomSource.createLong() & Integer.MAX_VALUE);
    RequestHeadReader heads =
        new RequestHeadReader(
            settings.kind(), environment.config(), environment.clock(), ids, environment.dialect());
    this.context = new ListenerContext(environment, settings.limits(), heads);
  }

  /**
   * Begins to listen.
   *
   * @throws IOException if the address can't be listened on
   */
  public void start() throws IOException {
    int unsentBytes = settings.limits().unsentBytes();
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(acceptor, loops)
            .channel(EventLoops.serverChannelType())
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(unsentBytes / LOW_SHARE, unsentBytes))
            .childHandler(new Connections());
    InetSocketAddress address = new InetSocketAddress(settings.address(), settings.port());
    var bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen on " + address, bound.cause());
    }
    server = bound.channel();
  }

  /** Sets up the handlers of each connection. */
  private final class Connections extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      context.connections().incrementAndGet();
      channel.closeFuture().addListener(closed -> context.connections().decrementAndGet());
      context.channels().add(channel);
      AnswerEncoder encoder = new AnswerEncoder();
      CallerConnection connection = new CallerConnection(context, encoder);
      channel
          .pipeline()
          .addLast(
              new StrictRequestDecoder(
                  settings.limits().maxRequestLineBytes(),
                  context.maxHeadBytes(),
                  connection::headBegan))
          .addLast(encoder)
          .addLast(connection);
    }
  }

  /** Returns the address that is listened on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  /** Returns how many connections are open. */
  public int connections() {
    return context.connections().get();
  }

  /** Returns how many calls are in flight. */
  public int calls() {
    return context.calls().get();
  }

  /**
   * Ends the service without cutting a call: no connection is accepted any more, answers ask for
   * the connection's end, and idle connections are closed. A request that still comes is refused if
   * its deadline lies beyond the grace time. A further call can only shorten the grace time.
   *
   * @param graceMillis how long calls in flight may go on, in milliseconds
   * @return completed when all connections are closed, with the number of calls that were cut
   */
  public synchronized CompletableFuture<Integer> drain(long graceMillis) {
    if (drained.isPresent()) {
      // The acceptor may have ended, and with it the thread that would tell of its closing.
      CompletableFuture<Integer> done = drained.get();
      GlobalEventExecutor.INSTANCE.schedule(() -> cut(done), graceMillis, TimeUnit.MILLISECONDS);
      return done;
    }
    CompletableFuture<Integer> done = new CompletableFuture<>();
    drained = Optional.of(done);
    context.startDraining(graceMillis);
    server.close().addListener(closed -> drainConnections(graceMillis, done));
    return done.whenComplete((cut, failure) -> acceptor.shutdownGracefully());
  }

  /** Tells whether the thread that accepts connections has ended. */
  boolean acceptorEnded() {
    return acceptor.isTerminated();
  }

  private void drainConnections(long graceMillis, CompletableFuture<Integer> done) {
    for (Channel channel : context.channels()) {
      channel
          .eventLoop()
          .execute(() -> channel.pipeline().fireUserEventTriggered(CallerConnection.DRAIN));
    }
    var expiry =
        GlobalEventExecutor.INSTANCE.schedule(() -> cut(done), graceMillis, TimeUnit.MILLISECONDS);
    context
        .channels()
        .newCloseFuture()
        .addListener(
            closed -> {
              expiry.cancel(false);
              done.complete(0);
            });
  }

  private void cut(CompletableFuture<Integer> done) {
    int calls = context.calls().get();
    context.channels().close().addListener(closed -> done.complete(calls));
  }
}
