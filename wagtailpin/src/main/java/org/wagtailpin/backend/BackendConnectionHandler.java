package org.wagtailpin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wagtailpin.clock.Clock;

/**
 * Channel handler of one connection to a backend server, between the HTTP codec and
 * AsyncHttpClient.
 *
 * <p>It writes a request only after the exchange has recorded that it may reach the server,
 * forwards an answer only while a request awaits one, discards interim answers and stale answers to
 * earlier requests, and stops reading while the caller is slow. Unsolicited input closes the
 * connection.
 */
final class BackendConnectionHandler extends ChannelDuplexHandler {

  private static final AttributeKey<BackendConnectionHandler> KEY =
      AttributeKey.valueOf(BackendConnectionHandler.class, "gate");

  private static final String KEEP_ALIVE = "keep-alive";
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,9})");
  private static final long MILLIS_PER_SECOND = 1_000;

  private final Clock clock;
  private final UnmatchedAnswers unmatched;
  private final CarriedRequests carriedRequests = new CarriedRequests();
  private volatile BackendExchange exchange;
  private volatile ServerConnections connections;
  private volatile boolean reusable = true;
  private volatile long idleSinceMillis;

  // Confined to the event loop of the connection, except for volatile fields.
  private ChannelHandlerContext context;
  private boolean requestRefused;
  private boolean requestWritten = true;
  private boolean writeFailed;
  private boolean awaitingAnswer;
  private long requestNumber;
  private boolean headReceived;
  private boolean interimAnswer;
  private boolean staleAnswer;
  private boolean bytesFollowAnswer;
  private boolean usedBefore;
  private volatile long maxIdleMillis = Long.MAX_VALUE;
  private boolean paused;
  private boolean readDeferred;
  private boolean refusalRecorded;
  private String identifier = "";
  private String identifierBefore = "";
  private String method = "";

  BackendConnectionHandler(Clock clock, UnmatchedAnswers unmatched) {
    this.clock = clock;
    this.unmatched = unmatched;
  }

  static BackendConnectionHandler of(Channel channel) {
    return channel.attr(KEY).get();
  }

  void attach(Channel channel) {
    channel.attr(KEY).set(this);
    idleSinceMillis = clock.millis();
  }

  /** Assigns the connection to the exchange that uses it exclusively until its answer ends. */
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

  /** Returns whether one of the last requests had an identifier. Thread-safe. */
  boolean carried(String identifier) {
    return carriedRequests.contains(identifier);
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
    ctx.write(message, promise.unvoid().addListener(written -> recordWrite(written.cause())));
  }

  private void recordWrite(Throwable failure) {
    writeFailed = writeFailed || (failure != null && !(failure instanceof ClosedChannelException));
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
    requestNumber++;
    headReceived = false;
    identifierBefore = identifier;
    identifier = current.identifier();
    if (!identifier.isEmpty()) {
      carriedRequests.add(identifier, current.isHead());
    }
    method = request.method().name();
    return true;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!awaitingAnswer || isMalformed(message)) {
      recordRefused(message);
    }
    if (!awaitingAnswer) {
      rejectAndClose(message);
      return;
    }
    if (writeFailed && !ctx.channel().isActive()) {
      // The failed write closed the connection: the server did not end an answer without a length.
      ReferenceCountUtil.release(message);
      ctx.fireExceptionCaught(new IOException("the connection broke while the request was sent"));
      return;
    }
    if (message instanceof HttpResponse head
        && head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
        // RFC 9110 section 15.2.2: not allowed, because the request had no Upgrade header.
        recordRefused(message);
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
      if (staleAnswer) {
        recordUnmatched(
            UnmatchedReason.STALE,
            head.status().code(),
            exchange.answeredIdentifier(head.headers()).orElse(""));
      }
    }
    // Nothing follows a malformed answer, so the exchange fails with it.
    staleAnswer = staleAnswer && !isMalformed(message);
    if (staleAnswer) {
      skipStaleAnswer(message);
      return;
    }
    headReceived = true;
    if (message instanceof LastHttpContent) {
      answerEnded();
    }
    ctx.fireChannelRead(message);
  }

  private void skipInterimAnswer(Object message) {
    // RFC 9110 section 15.2: interim answers precede the final one and consist of a head only.
    if (message instanceof HttpContent) {
      interimAnswer = !(message instanceof LastHttpContent);
    }
    ReferenceCountUtil.release(message);
  }

  /**
   * Discards a surplus answer to an earlier request on the connection. The answer to the current
   * request follows it; after that the connection is not reused.
   */
  private void skipStaleAnswer(Object message) {
    reusable = false;
    if (message instanceof LastHttpContent) {
      staleAnswer = false;
      connections.countStaleAnswer();
    }
    ReferenceCountUtil.release(message);
    context.read();
  }

  /**
   * Reads the timeout from the Keep-Alive header. Only half of it is used, so that the server does
   * not close the connection while a request is being sent on it.
   */
  private void readKeepAlive(HttpResponse head) {
    String value = head.headers().get(KEEP_ALIVE);
    Matcher timeout = value == null ? null : KEEP_ALIVE_TIMEOUT.matcher(value);
    if (timeout != null && timeout.find()) {
      maxIdleMillis = Long.parseLong(timeout.group(1)) * MILLIS_PER_SECOND / 2;
    }
  }

  /**
   * Returns the maximum idle time derived from the server's Keep-Alive header, in milliseconds;
   * {@link Long#MAX_VALUE} if it sent none.
   */
  long maxIdleMillis() {
    return maxIdleMillis;
  }

  private void answerEnded() {
    usedBefore = true;
    awaitingAnswer = false;
    paused = false;
    exchange = null;
    idleSinceMillis = clock.millis();
    // RFC 9112 section 9.6: a connection on which a request was not sent completely cannot carry
    // another one. Bytes after an answer would be taken for the start of the next one.
    reusable = reusable && requestWritten && !bytesFollowAnswer;
  }

  /** Records whether the decoder holds more bytes as it passes on the end of an answer. */
  void setBytesFollowAnswer(boolean bytesFollow) {
    bytesFollowAnswer = bytesFollow;
  }

  /** Returns whether the head of an answer is due. Called on the connection's event loop. */
  boolean awaitsHead() {
    return awaitingAnswer && !headReceived;
  }

  /** Returns whether an answer is one to a HEAD request, which states a length but has no body. */
  boolean answersHead(HttpHeaders headers) {
    BackendExchange current = exchange;
    if (current == null) {
      return false;
    }
    return current.isStaleAnswer(headers)
        ? current.answeredIdentifier(headers).map(carriedRequests::isHead).orElse(false)
        : current.isHead();
  }

  /** Returns how many requests were begun. Called on the connection's event loop. */
  long requestNumber() {
    return requestNumber;
  }

  /** Returns whether no input is due. Called on the connection's event loop. */
  boolean awaitsNothing() {
    return !awaitingAnswer;
  }

  /** Closes the connection, as its input belongs to no answer. */
  void rejectInput() {
    reusable = false;
    context.close();
  }

  /** Records an answer to another request. Called on the connection's event loop. */
  void recordUnmatched(UnmatchedReason reason, int status, String received) {
    unmatched.recordAnswer(reason, history(), status, received);
  }

  /**
   * Records input that is refused, once a connection, since it may come in many parts. Called on
   * the connection's event loop.
   */
  void recordRefused(Object message) {
    if (refusalRecorded) {
      return;
    }
    refusalRecorded = true;
    UnmatchedReason reason =
        awaitingAnswer ? UnmatchedReason.MALFORMED : UnmatchedReason.UNSOLICITED;
    if (message instanceof ByteBuf input) {
      unmatched.recordInput(reason, history(), input);
    } else if (message instanceof HttpResponse head) {
      unmatched.recordHead(reason, history(), head);
    } else {
      unmatched.recordAnswer(reason, history(), 0, null);
    }
  }

  private static boolean isMalformed(Object message) {
    return message instanceof HttpObject part && part.decoderResult().isFailure();
  }

  private UnmatchedAnswers.ConnectionHistory history() {
    ServerConnections owner = connections;
    return new UnmatchedAnswers.ConnectionHistory(
        owner == null ? "" : owner.name(),
        requestNumber,
        awaitingAnswer,
        identifier,
        method,
        identifierBefore,
        awaitingAnswer ? -1 : clock.millis() - idleSinceMillis);
  }

  private void rejectAndClose(Object message) {
    ReferenceCountUtil.release(message);
    rejectInput();
  }

  @Override
  public void read(ChannelHandlerContext ctx) {
    if (paused) {
      readDeferred = true;
    } else {
      ctx.read();
    }
  }

  /** Stops reading the answer of an exchange, if it still uses the connection. Thread-safe. */
  void pause(BackendExchange holder) {
    runOnLoop(
        () -> {
          if (exchange == holder) {
            paused = true;
          }
        });
  }

  /** Resumes reading the answer of an exchange, if it still uses the connection. Thread-safe. */
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

  /** Closes the connection, if the exchange still uses it. Thread-safe. */
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
