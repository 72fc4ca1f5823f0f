package org.wagtailpin.benchmark.experiment;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailpin.transport.EventLoops;

/**
 * Connection of one entry to one stand-in server, with a simulated network delay in each direction.
 * For use on the entry's event loop.
 */
final class ServerLink {

  private static final double MICROS_PER_MILLI = 1000;

  private final EventLoop loop;
  private final long delayMicros;
  private final Channel channel;
  private final Map<Long, Consumer<Frame>> pending = new HashMap<>();
  private long nextAttemptId;

  ServerLink(EventLoop loop, int port, double oneWayMillis) throws InterruptedException {
    this.loop = loop;
    this.delayMicros = (long) (oneWayMillis * MICROS_PER_MILLI);
    this.channel =
        new Bootstrap()
            .group(loop)
            .channel(EventLoops.channelType())
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel socket) {
                    socket.config().setTcpNoDelay(true);
                    socket.pipeline().addLast(new FrameCodec(), new AnswerHandler());
                  }
                })
            .connect("127.0.0.1", port)
            .sync()
            .channel();
  }

  private final class AnswerHandler extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame answer) {
      runDelayed(() -> deliver(answer));
    }
  }

  private void deliver(Frame answer) {
    Consumer<Frame> handler = pending.remove(answer.id());
    if (handler != null) {
      handler.accept(answer);
    }
  }

  /** Sends a request; the handler is called once with the answer, or never if none arrives. */
  void send(int call, int workMicros, Consumer<Frame> handler) {
    Frame request = Frame.request(nextAttemptId++, call, workMicros);
    pending.put(request.id(), handler);
    runDelayed(() -> channel.writeAndFlush(request));
  }

  private void runDelayed(Runnable task) {
    if (delayMicros == 0) {
      task.run();
    } else {
      loop.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
    }
  }

  void close() throws InterruptedException {
    channel.close().sync();
  }
}
