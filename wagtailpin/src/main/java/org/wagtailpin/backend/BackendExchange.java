package org.wagtailpin.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicReference;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.ListenableFuture;
import org.tinylog.Logger;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.ServerNoticeListener;
import org.wagtailpin.transport.HttpDialect;

/**
 * One request to a backend server and its answer.
 *
 * <p>Whether the request may have reached the server is decided exactly once, by an atomic
 * transition from {@link Dispatch#PENDING}: either the connection starts to write the request, or
 * the exchange is withdrawn and the request is never written. A failure is therefore reported as
 * not run only if no byte of the request was or will be written.
 */
public final class BackendExchange implements AsyncHandler<Void> {

  private static final int MIN_REDIRECT_STATUS = 300;

  private enum Dispatch {
    PENDING,
    BEGUN,
    WITHDRAWN
  }

  private final BackendRequest request;
  private final ServerConnections connections;
  private final EventLoop owner;
  private final ExchangeListener listener;
  private final HttpDialect dialect;
  private final ServerNoticeListener notices;
  private final AtomicReference<Dispatch> dispatch = new AtomicReference<>(Dispatch.PENDING);
  private volatile BackendConnectionHandler connection;
  private volatile ListenableFuture<Void> future;
  private volatile Step step = Step.CONNECT;

  // Confined to the event loop of the connection.
  private int status;
  private boolean headDelivered;
  private boolean failureReported;
  private HttpHeaders trailers = EmptyHttpHeaders.INSTANCE;

  // Confined to the owner's event loop.
  private boolean ended;

  BackendExchange(
      BackendRequest request,
      ServerConnections connections,
      EventLoop owner,
      ExchangeListener listener,
      HttpDialect dialect) {
    this(request, connections, owner, listener, dialect, ServerNoticeListener.none());
  }

  BackendExchange(
      BackendRequest request,
      ServerConnections connections,
      EventLoop owner,
      ExchangeListener listener,
      HttpDialect dialect,
      ServerNoticeListener notices) {
    this.request = request;
    this.connections = connections;
    this.owner = owner;
    this.listener = listener;
    this.dialect = dialect;
    this.notices = notices;
  }

  void started(ListenableFuture<Void> running) {
    future = running;
    if (dispatch.get() == Dispatch.WITHDRAWN) {
      running.abort(new CancellationException());
    }
  }

  /** Stops reading the answer, for backpressure. Called on the owner's event loop. */
  public void pause() {
    BackendConnectionHandler current = connection;
    if (current != null) {
      current.pause(this);
    }
  }

  /** Resumes reading the answer. Called on the owner's event loop. */
  public void resume() {
    BackendConnectionHandler current = connection;
    if (current != null) {
      current.resume(this);
    }
  }

  /**
   * Cancels the exchange and closes its connection. Called on the owner's event loop; the listener
   * is not called afterwards.
   *
   * @return whether it is proved that the server did not and will not run the request
   */
  public boolean cancel() {
    ended = true;
    boolean notRun = withdraw();
    BackendConnectionHandler current = connection;
    if (current != null) {
      current.abandon(this);
    }
    ListenableFuture<Void> running = future;
    if (running != null) {
      running.abort(new CancellationException());
    }
    return notRun;
  }

  private boolean withdraw() {
    dispatch.compareAndSet(Dispatch.PENDING, Dispatch.WITHDRAWN);
    return dispatch.get() == Dispatch.WITHDRAWN;
  }

  /**
   * Marks the request as dispatched and adjusts its headers. Called on the event loop of the
   * connection immediately before the request is written.
   *
   * @return false if the exchange was withdrawn and the request must not be written
   */
  boolean beginDispatch(HttpHeaders headers) {
    if (!dispatch.compareAndSet(Dispatch.PENDING, Dispatch.BEGUN)) {
      return false;
    }
    step = Step.AWAIT_ANSWER;
    // AsyncHttpClient adds an Accept header if the caller sent none.
    if (!request.headers().contains(HttpHeaderNames.ACCEPT)) {
      headers.remove(HttpHeaderNames.ACCEPT);
    }
    return true;
  }

  /**
   * Returns whether an answer belongs to another request, such as an earlier one answered twice.
   */
  boolean isStaleAnswer(HttpHeaders headers) {
    Optional<String> answered = answeredIdentifier(headers);
    return answered.isPresent() && !answered.get().equals(request.attempt());
  }

  /** Returns the identifier of the request that an answer belongs to, if it bears exactly one. */
  Optional<String> answeredIdentifier(HttpHeaders headers) {
    List<String> echoes = headers.getAll(dialect.echoedHeader());
    return echoes.size() == 1 ? Optional.of(echoes.get(0)) : Optional.empty();
  }

  /** Returns the identifier of the request, empty for a probe. */
  String identifier() {
    return request.attempt();
  }

  private void bind(Channel channel) {
    step = Step.SEND_REQUEST;
    BackendConnectionHandler handler = BackendConnectionHandler.of(channel);
    handler.assign(this, connections);
    request.sentOn().add(channel);
    connection = handler;
  }

  @Override
  public void onConnectionPooled(Channel channel) {
    bind(channel);
  }

  @Override
  public void onTcpConnectSuccess(InetSocketAddress address, Channel channel) {
    bind(channel);
  }

  @Override
  public State onStatusReceived(org.asynchttpclient.HttpResponseStatus received) {
    status = received.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    Optional<String> rejection = rejectionReason(headers);
    if (rejection.isPresent()) {
      return failAndAbort(rejection.get());
    }
    deliverHead(headers);
    return State.CONTINUE;
  }

  private Optional<String> rejectionReason(HttpHeaders headers) {
    if (headers.getAll(dialect.echoedHeader()).size() > 1) {
      connection.recordUnmatched(
          UnmatchedReason.FOREIGN_IDENTIFIER, status, headers.get(dialect.echoedHeader()));
      return Optional.of("the answer bears more than one identifier");
    }
    String echo = headers.get(dialect.echoedHeader());
    boolean mismatched = echo == null ? request.echoesAttempt() : !echo.equals(request.attempt());
    if (mismatched) {
      UnmatchedReason reason =
          echo == null ? UnmatchedReason.NO_IDENTIFIER : UnmatchedReason.FOREIGN_IDENTIFIER;
      connection.recordUnmatched(reason, status, echo);
      return Optional.of("the answer belongs to another request");
    }
    boolean success =
        !request.isProbe()
            && status >= HttpResponseStatus.OK.code()
            && status < MIN_REDIRECT_STATUS;
    if (success
        && dialect.signature().isPresent()
        && !headers.contains(dialect.signature().get())) {
      return Optional.of("the answer does not bear the server's signature");
    }
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean chunkedOnly =
        codings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
    if (!codings.isEmpty() && !chunkedOnly) {
      return Optional.of("the answer's transfer coding is not understood");
    }
    // RFC 9112 section 6.3: a body delimited by the end of the connection cannot be distinguished
    // from a truncated one.
    boolean framed =
        headers.contains(HttpHeaderNames.CONTENT_LENGTH)
            || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    if (!framed && mayHaveBody() && !dialect.allowsUnframedAnswers()) {
      return Optional.of("the answer does not state its length");
    }
    return Optional.empty();
  }

  /** Returns whether the request is a HEAD request, whose answer has no body. */
  boolean isHead() {
    return HttpMethod.HEAD.name().equals(request.method());
  }

  private boolean mayHaveBody() {
    return !isHead()
        && status != HttpResponseStatus.NO_CONTENT.code()
        && status != HttpResponseStatus.NOT_MODIFIED.code();
  }

  private State failAndAbort(String detail) {
    failureReported = true;
    fail(detail);
    return State.ABORT;
  }

  private void deliverHead(HttpHeaders headers) {
    headDelivered = true;
    step = Step.RELAY_ANSWER;
    notices.noticed(
        request.server(),
        ServerNoticeHeaders.parse(request.server().name(), status, headers, dialect));
    String load = headers.get(dialect.load());
    AnswerHead head =
        new AnswerHead(
            status,
            headers,
            load == null ? Optional.empty() : LoadReportHeader.read(load, dialect),
            RequestLimitHeader.parse(status, headers.get(dialect.requestLimit())));
    notifyListener(() -> listener.head(head));
  }

  private boolean headPending() {
    return !headDelivered && !failureReported;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart received) {
    // AsyncHttpClient does not call onHeadersReceived for an answer without headers.
    if (headPending() && onHeadersReceived(new DefaultHttpHeaders()) == State.ABORT) {
      return State.ABORT;
    }
    if (received.length() > 0) {
      deliverPart(received.getBodyByteBuf().retain());
    }
    return State.CONTINUE;
  }

  private void deliverPart(ByteBuf part) {
    if (owner.inEventLoop()) {
      deliverPartNow(part);
    } else {
      owner.execute(() -> deliverPartNow(part));
    }
  }

  private void deliverPartNow(ByteBuf part) {
    if (ended) {
      part.release();
    } else {
      listener.part(part);
    }
  }

  @Override
  public State onTrailingHeadersReceived(HttpHeaders received) {
    trailers = received;
    return State.CONTINUE;
  }

  @Override
  public Void onCompleted() {
    if (headPending()) {
      onHeadersReceived(new DefaultHttpHeaders());
    }
    if (!failureReported) {
      HttpHeaders last = trailers;
      notifyListener(
          () -> {
            ended = true;
            listener.end(last);
          });
    }
    return null;
  }

  @Override
  public void onThrowable(Throwable cause) {
    if (!failureReported) {
      failureReported = true;
      logIfUnexpected(cause);
      String message = cause.getMessage();
      fail(message == null ? cause.getClass().getSimpleName() : message);
    }
  }

  private static void logIfUnexpected(Throwable cause) {
    boolean expected = cause instanceof CancellationException || cause instanceof CodecException;
    if (cause instanceof IllegalArgumentException) {
      // Thrown by the decoder for malformed numbers. The failed attempt has its own event, so the
      // stack trace is omitted.
      Logger.warn("malformed answer from a backend server: {}", cause.toString());
    } else if (cause instanceof RuntimeException && !expected) {
      Logger.error(cause, "unexpected exception in an exchange with a backend server");
    }
  }

  private void fail(String detail) {
    boolean notRun = withdraw();
    Fault fault = new Fault(step, Peer.BACKEND_SERVER, request.server().name(), detail);
    notifyListener(
        () -> {
          ended = true;
          listener.failed(new ExchangeFailure(fault, notRun));
        });
  }

  private void notifyListener(Runnable notification) {
    if (owner.inEventLoop()) {
      notifyListenerNow(notification);
    } else {
      owner.execute(() -> notifyListenerNow(notification));
    }
  }

  private void notifyListenerNow(Runnable notification) {
    if (!ended) {
      notification.run();
    }
  }
}
