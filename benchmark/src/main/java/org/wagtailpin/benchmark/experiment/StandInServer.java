package org.wagtailpin.benchmark.experiment;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailpin.transport.EventLoops;

/**
 * Stand-in for a backend server, with slots, a queue, injected faults and a load report in each
 * answer. Its state is confined to one event loop, except for the counter of finished calls.
 */
final class StandInServer {

  private static final int OK = 200;
  static final int INTERNAL_SERVER_ERROR = 500;
  static final int SERVICE_UNAVAILABLE = 503;

  private record Work(ChannelHandlerContext context, Frame request) {}

  private final String name;
  private final int slots;
  private final int shedAt;
  private final ExecutionCounter executionCounter;
  private final Runnable slotFreed;
  private final EventLoop loop;
  private final Channel listener;
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private int running;
  private ServerFault fault = ServerFault.NONE;
  private final AtomicInteger finishedCalls = new AtomicInteger();

  StandInServer(
      String name,
      int slots,
      int shedAt,
      ExecutionCounter executionCounter,
      Runnable slotFreed,
      EventLoopGroup loops)
      throws InterruptedException {
    this.name = name;
    this.slots = slots;
    this.shedAt = shedAt;
    this.executionCounter = executionCounter;
    this.slotFreed = slotFreed;
    this.loop = loops.next();
    this.listener = listen();
  }

  private Channel listen() throws InterruptedException {
    return new ServerBootstrap()
        .group(loop, loop)
        .channel(EventLoops.serverChannelType())
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel.config().setTcpNoDelay(true);
                channel.pipeline().addLast(new FrameCodec(), new RequestHandler());
              }
            })
        .bind("127.0.0.1", 0)
        .sync()
        .channel();
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame request) {
      handleRequest(new Work(context, request));
    }
  }

  private void handleRequest(Work work) {
    if (fault.failsFast()) {
      answer(work, INTERNAL_SERVER_ERROR);
    } else if (fault.drains() || queue.size() >= shedAt) {
      answer(work, SERVICE_UNAVAILABLE);
    } else if (running < slots) {
      start(work);
    } else {
      queue.add(work);
    }
  }

  private void start(Work work) {
    running++;
    executionCounter.recordExecution(work.request().call());
    long micros = (long) (work.request().workMicros() * fault.factor());
    loop.schedule(() -> complete(work), micros, TimeUnit.MICROSECONDS);
  }

  private void complete(Work work) {
    running--;
    finishedCalls.incrementAndGet();
    slotFreed.run();
    answer(work, OK);
    if (running < slots && !queue.isEmpty()) {
      start(queue.poll());
    }
  }

  private void answer(Work work, int status) {
    Frame request = work.request();
    boolean reportsIdle = fault.misreportsLoad() || fault.failsFast();
    work.context()
        .writeAndFlush(
            new Frame(
                request.id(),
                request.call(),
                request.workMicros(),
                status,
                reportsIdle ? 0 : running,
                reportsIdle ? 0 : queue.size(),
                fault.drains()));
  }

  String name() {
    return name;
  }

  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns the number of calls that it has finished; for any thread. */
  int finishedCalls() {
    return finishedCalls.get();
  }

  /** Replaces the active fault; for any thread. */
  void setFault(ServerFault newFault) {
    loop.execute(() -> fault = newFault);
  }

  void close() throws InterruptedException {
    listener.close().sync();
  }
}
