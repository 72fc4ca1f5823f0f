package org.wagtailpin.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wagtailpin.clock.Clock;

/**
 * Guard of one connection to a backend server, between the HTTP codec and AsyncHttpClient.
 *
 * <p>It lets a request pass only after the exchange has noted that it may reach the server, lets an
 * answer pass only while a request waits for one, drops interim answers, and holds back reading
 * while the caller is slow. What arrives unasked closes the connection.
 */
final class BackendConnectionHandler extends ChannelDuplexHandler {

  private static final AttributeKey<BackendConnectionHandler> KEY =
      AttributeKey.valueOf(BackendConnectionHandler.class, "gate");

  private static final String KEEP_ALIVE = "keep-alive";
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,9})");
  private static final long MILLIS_PER_SECOND = 1_000;

  private final Clock clock;
  private volatile BackendExchange exchange;
  private volatile ServerConnections connections;
  private volatile boolean reusable = true;
  private volatile long idleSinceMillis;

  // Confined to the event loop.
  private ChannelHandlerContext context;
  private boolean requestRefused;
  private boolean requestWritten = true;
  private boolean awaitingAnswer;
  private boolean interimAnswer;
  private boolean staleAnswer;
  private boolean usedBefore;
  private volatile long maxIdleMillis = Long.MAX_VALUE;
  private boolean paused;
  private boolean readDeferred;

  BackendConnectionHandler(Clock clock) {
    this.clock = clock;
  }

  static BackendConnectionHandler of(Channel channel) {
    return channel.attr(KEY).get();
  }

  void attach(Channel channel) {
    channel.attr(KEY).set(this);
    idleSinceMillis = clock.millis();
  }

  /** Assigns the connection to an exchange that has taken it for itself. */
  void assign(BackendExchange next, ServerConnections owner) {
    connections = owner;
    exchange = next;
  }

  ServerConnections connections() {
    return connections;
  }

  boolean reusable() {
    return reusable;
  }

  long idleSinceMillis() {
    return idleSinceMillis;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request && !beginRequest(request)) {
      requestRefused = true;
    }
    if (requestRefused) {
      ReferenceCountUtil.release(message);
      promise.tryFailure(new ClosedChannelException());
      ctx.close();
      return;
    }
    if (message instanceof LastHttpContent) {
      requestWritten = true;
    }
    ctx.write(message, promise);
  }

  private boolean beginRequest(HttpRequest request) {
    BackendExchange current = exchange;
    if (!reusable || current == null || !context.channel().isActive()) {
      return false;
    }
    if (!current.beginDispatch(request.headers())) {
      return false;
    }
    requestWritten = false;
    awaitingAnswer = true;
    return true;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!awaitingAnswer) {
      rejectAndClose(message);
      return;
    }
    if (message instanceof HttpResponse head
        && head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
        // RFC 9110 section 15.2.2: no upgrade was asked for.
        rejectAndClose(message);
        return;
      }
      interimAnswer = true;
    }
    if (interimAnswer) {
      skipInterimAnswer(message);
      return;
    }
    if (message instanceof HttpResponse head) {
      staleAnswer = usedBefore && exchange != null && exchange.isStaleAnswer(head.headers());
      readKeepAlive(head);
    }
    if (staleAnswer) {
      skipStaleAnswer(message);
      return;
    }
    if (message instanceof LastHttpContent) {
      answerEnded();
    }
    ctx.fireChannelRead(message);
  }

  private void skipInterimAnswer(Object message) {
    // RFC 9110 section 15.2: interim answers come before the final one and end with their head.
    if (message instanceof HttpContent) {
      interimAnswer = !(message instanceof LastHttpContent);
    }
    ReferenceCountUtil.release(message);
  }

  /** A surplus answer to an earlier request; what follows it answers the present one. */
  private void skipStaleAnswer(Object message) {
    reusable = false;
    if (message instanceof LastHttpContent) {
      staleAnswer = false;
    }
    ReferenceCountUtil.release(message);
    context.read();
  }

  /** Notes how long the server keeps the connection, and leaves half of it unused. */
  private void readKeepAlive(HttpResponse head) {
    String value = head.headers().get(KEEP_ALIVE);
    Matcher timeout = value == null ? null : KEEP_ALIVE_TIMEOUT.matcher(value);
    if (timeout != null && timeout.find()) {
      maxIdleMillis = Long.parseLong(timeout.group(1)) * MILLIS_PER_SECOND / 2;
    }
  }

  /** Returns how long the connection may be idle by what the server said, in milliseconds. */
  long maxIdleMillis() {
    return maxIdleMillis;
  }

  private void answerEnded() {
    usedBefore = true;
    awaitingAnswer = false;
    paused = false;
    exchange = null;
    idleSinceMillis = clock.millis();
    // RFC 9112 section 9.6: what follows an unfinished request on the connection has no meaning.
    reusable = reusable && requestWritten;
  }

  private void rejectAndClose(Object message) {
    ReferenceCountUtil.release(message);
    reusable = false;
    context.close();
  }

  @Override
  public void read(ChannelHandlerContext ctx) {
    if (paused) {
      readDeferred = true;
    } else {
      ctx.read();
    }
  }

  /** Holds back reading while the answer of an exchange is not taken; by any thread. */
  void pause(BackendExchange holder) {
    runOnLoop(
        () -> {
          if (exchange == holder) {
            paused = true;
          }
        });
  }

  /** Goes on with reading; by any thread. */
  void resume(BackendExchange holder) {
    runOnLoop(
        () -> {
          if (exchange == holder && paused) {
            paused = false;
            performDeferredRead();
          }
        });
  }

  private void performDeferredRead() {
    if (readDeferred) {
      readDeferred = false;
      context.read();
    }
  }

  /** Closes the connection if an exchange still holds it; by any thread. */
  void abandon(BackendExchange holder) {
    runOnLoop(
        () -> {
          if (exchange == holder) {
            reusable = false;
            context.close();
          }
        });
  }

  private void runOnLoop(Runnable task) {
    if (context.executor().inEventLoop()) {
      task.run();
    } else {
      context.executor().execute(task);
    }
  }
}
