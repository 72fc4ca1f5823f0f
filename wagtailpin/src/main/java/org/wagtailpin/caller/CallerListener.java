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
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.call.CallEnvironment;
import org.wagtailpin.transport.EventLoops;

/** TCP listener that serves callers over HTTP/1.1. */
public final class CallerListener {

  private static final int BACKLOG = 1_024;
  private static final int LOW_WATER_MARK_DIVISOR = 2;

  private final CallerSettings settings;
  private final EventLoopGroup loops;
  private final EventLoopGroup acceptor;
  private final ListenerContext context;
  private Channel serverChannel;
  private Optional<CompletableFuture<Integer>> drainResult = Optional.empty();

  /**
   * Creates a listener. It accepts no connections before {@link #start()}.
   *
   * @param settings the address, kind and limits of the listener
   * @param loops the event loops that serve the connections, from {@link EventLoops#createAffine}
   * @param environment the services shared by all calls
   */
  public CallerListener(
      CallerSettings settings, EventLoopGroup loops, CallEnvironment environment) {
    this.settings = settings;
    this.loops = loops;
    this.acceptor = EventLoops.create(1, "acceptor");
    RequestIdGenerator idGenerator =
        new RequestIdGenerator(settings.entry(), new SplittableRandom().nextInt(Integer.MAX_VALUE));
    RequestHeadReader headReader =
        new RequestHeadReader(
            settings.kind(),
            environment.config(),
            environment.clock(),
            idGenerator,
            environment.dialect());
    this.context = new ListenerContext(environment, settings.limits(), headReader);
  }

  /**
   * Binds the address and starts accepting connections.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    int maxUnsentBytes = settings.limits().maxUnsentBytes();
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
                new WriteBufferWaterMark(maxUnsentBytes / LOW_WATER_MARK_DIVISOR, maxUnsentBytes))
            .childHandler(new ConnectionInitializer());
    InetSocketAddress address = new InetSocketAddress(settings.address(), settings.port());
    var bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen on " + address, bound.cause());
    }
    serverChannel = bound.channel();
  }

  /** Counts each accepted connection and sets up its handlers. */
  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      context.connectionCount().incrementAndGet();
      channel.closeFuture().addListener(closed -> context.connectionCount().decrementAndGet());
      context.channels().add(channel);
      AnswerEncoder encoder = new AnswerEncoder();
      CallerConnection connection = new CallerConnection(context, encoder);
      channel
          .pipeline()
          .addLast(
              new StrictRequestDecoder(
                  settings.limits().maxRequestLineBytes(),
                  context.maxHeadBytes(),
                  connection::headStarted))
          .addLast(encoder)
          .addLast(connection);
    }
  }

  /** Returns the bound address; its port is the chosen one if the settings have port 0. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return context.connectionCount().get();
  }

  /** Returns the number of calls in flight. */
  public int callsInFlight() {
    return context.callCount().get();
  }

  /**
   * Announces that {@link #drain} will follow. Requests whose deadline lies after its end are
   * refused from now on; all others are served as before.
   *
   * @param untilEndMillis the time from now to the end of the drain, in milliseconds
   */
  public void announceDrain(long untilEndMillis) {
    context.announceEnd(untilEndMillis);
  }

  /**
   * Shuts the listener down gracefully: answers carry {@code Connection: close}, and idle
   * connections are closed. Connections that still arrive are accepted until no other connection is
   * left, so that none is reset that a balancer had already sent here. A request is refused if its
   * deadline lies after the end of the grace period. At that time the remaining connections are
   * closed. A further call can only shorten the grace period.
   *
   * @param graceMillis how long calls in flight may continue, in milliseconds
   * @return completed when all connections are closed, with the number of calls that were aborted
   */
  public synchronized CompletableFuture<Integer> drain(long graceMillis) {
    if (drainResult.isPresent()) {
      CompletableFuture<Integer> result = drainResult.get();
      GlobalEventExecutor.INSTANCE.schedule(
          () -> closeRemaining(result), graceMillis, TimeUnit.MILLISECONDS);
      return result;
    }
    CompletableFuture<Integer> result = new CompletableFuture<>();
    drainResult = Optional.of(result);
    context.startDraining(graceMillis);
    drainConnections(graceMillis, result);
    return result.whenComplete((aborted, failure) -> acceptor.shutdownGracefully());
  }

  /** Returns whether the thread that accepts connections has ended. */
  boolean acceptorEnded() {
    return acceptor.isTerminated();
  }

  private void drainConnections(long graceMillis, CompletableFuture<Integer> result) {
    for (Channel channel : context.channels()) {
      channel
          .eventLoop()
          .execute(() -> channel.pipeline().fireUserEventTriggered(CallerConnection.DRAIN));
    }
    var expiry =
        GlobalEventExecutor.INSTANCE.schedule(
            () -> closeRemaining(result), graceMillis, TimeUnit.MILLISECONDS);
    result.whenComplete((aborted, failure) -> expiry.cancel(false));
    onceNoConnectionIsLeft(() -> stopAccepting(result));
  }

  private void stopAccepting(CompletableFuture<Integer> result) {
    serverChannel.close().addListener(closed -> onceNoConnectionIsLeft(() -> result.complete(0)));
  }

  /** Runs a task once the open connections, and those accepted meanwhile, have closed. */
  private void onceNoConnectionIsLeft(Runnable task) {
    context
        .channels()
        .newCloseFuture()
        .addListener(
            closed -> {
              if (context.channels().isEmpty()) {
                task.run();
              } else {
                onceNoConnectionIsLeft(task);
              }
            });
  }

  private void closeRemaining(CompletableFuture<Integer> result) {
    // The acceptor thread ends with the drain, and then no longer calls listeners.
    if (result.isDone()) {
      return;
    }
    int calls = context.callCount().get();
    serverChannel.close();
    context.channels().close().addListener(closed -> result.complete(calls));
  }
}
