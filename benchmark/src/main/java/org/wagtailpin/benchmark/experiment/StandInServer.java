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
 * A backend server with slots, a queue, injected faults and a load report in each answer. All its
 * state is touched on one event loop only.
 */
final class StandInServer {

  private static final int OK = 200;
  static final int BROKEN = 500;
  static final int REFUSED = 503;

  private record Work(ChannelHandlerContext context, Frame request) {}

  private final String name;
  private final int slots;
  private final int shedAt;
  private final RunLedger ledger;
  private final Runnable slotFreed;
  private final EventLoop loop;
  private final Channel listener;
  private final ArrayDeque<Work> waiting = new ArrayDeque<>();
  private int running;
  private ServerFault fault = ServerFault.NONE;
  private final AtomicInteger finished = new AtomicInteger();

  StandInServer(
      String name,
      int slots,
      int shedAt,
      RunLedger ledger,
      Runnable slotFreed,
      EventLoopGroup loops)
      throws InterruptedException {
    this.name = name;
    this.slots = slots;
    this.shedAt = shedAt;
    this.ledger = ledger;
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
                channel.pipeline().addLast(new FrameCodec(), new Requests());
              }
            })
        .bind("127.0.0.1", 0)
        .sync()
        .channel();
  }

  private final class Requests extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame request) {
      arrived(new Work(context, request));
    }
  }

  private void arrived(Work work) {
    if (fault.failsFast()) {
      answer(work, BROKEN);
    } else if (fault.drains() || waiting.size() >= shedAt) {
      answer(work, REFUSED);
    } else if (running < slots) {
      start(work);
    } else {
      waiting.add(work);
    }
  }

  private void start(Work work) {
    running++;
    ledger.ran(work.request().call());
    long micros = (long) (work.request().workMicros() * fault.factor());
    loop.schedule(() -> done(work), micros, TimeUnit.MICROSECONDS);
  }

  private void done(Work work) {
    running--;
    finished.incrementAndGet();
    slotFreed.run();
    answer(work, OK);
    if (running < slots && !waiting.isEmpty()) {
      start(waiting.poll());
    }
  }

  private void answer(Work work, int status) {
    Frame request = work.request();
    boolean idle = fault.lies() || fault.failsFast();
    work.context()
        .writeAndFlush(
            new Frame(
                request.id(),
                request.call(),
                request.workMicros(),
                status,
                idle ? 0 : running,
                idle ? 0 : waiting.size(),
                fault.drains()));
  }

  String name() {
    return name;
  }

  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Returns how many calls it has finished. */
  int finished() {
    return finished.get();
  }

  /** Puts a fault in force; for any thread. */
  void fault(ServerFault newFault) {
    loop.execute(() -> fault = newFault);
  }

  void close() throws InterruptedException {
    listener.close().sync();
  }
}
