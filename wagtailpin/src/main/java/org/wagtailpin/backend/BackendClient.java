package org.wagtailpin.backend;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.uri.Uri;
import org.tinylog.Logger;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.eventlog.NoOpEventLog;
import org.wagtailpin.routing.ServerNoticeListener;
import org.wagtailpin.transport.HttpDialect;

/** HTTP client that sends requests to backend servers over pooled connections. Thread-safe. */
public final class BackendClient implements AutoCloseable {

  private static final String SCHEME = "http";
  private static final long IDLE_SWEEP_PERIOD_MILLIS = 500;

  private final BackendSettings settings;
  private final ConnectionLimits limits;
  private final Clock clock;
  private final HttpDialect dialect;
  private final ServerNoticeListener notices;
  private final ConnectionPool pool = new ConnectionPool();
  private final UnmatchedAnswers unmatched;
  private final AsyncHttpClient client;
  private final Future<?> idleSweep;

  /**
   * Creates a client with {@link HttpDialect#standard()} and without events.
   *
   * @param settings the timeouts and size limits of connections
   * @param loops the event loops, from {@link org.wagtailpin.transport.EventLoops#createAffine}
   * @param limits the maximum number of connections to each server
   * @param clock measures how long connections are idle
   */
  public BackendClient(
      BackendSettings settings, EventLoopGroup loops, ConnectionLimits limits, Clock clock) {
    this(settings, loops, limits, clock, HttpDialect.standard(), new NoOpEventLog());
  }

  /**
   * Creates a client.
   *
   * @param settings the timeouts and size limits of connections
   * @param loops the event loops, from {@link org.wagtailpin.transport.EventLoops#createAffine}
   * @param limits the maximum number of connections to each server
   * @param clock measures how long connections are idle
   * @param dialect the header names and HTTP conventions of the backend servers
   * @param events receives an event for input that matches no request
   */
  public BackendClient(
      BackendSettings settings,
      EventLoopGroup loops,
      ConnectionLimits limits,
      Clock clock,
      HttpDialect dialect,
      EventLog events) {
    this(settings, loops, limits, clock, dialect, events, ServerNoticeListener.none());
  }

  /**
   * Creates a client that passes on what servers state about themselves.
   *
   * @param settings the timeouts and size limits of connections
   * @param loops the event loops, from {@link org.wagtailpin.transport.EventLoops#createAffine}
   * @param limits the maximum number of connections to each server
   * @param clock measures how long connections are idle
   * @param dialect the header names and HTTP conventions of the backend servers
   * @param events receives an event for input that matches no request
   * @param notices receives what servers state about themselves
   */
  public BackendClient(
      BackendSettings settings,
      EventLoopGroup loops,
      ConnectionLimits limits,
      Clock clock,
      HttpDialect dialect,
      EventLog events,
      ServerNoticeListener notices) {
    this.notices = notices;
    this.settings = settings;
    this.limits = limits;
    this.clock = clock;
    this.dialect = dialect;
    this.unmatched = new UnmatchedAnswers(events, clock, dialect);
    this.client =
        new DefaultAsyncHttpClient(BackendClientConfig.of(settings, loops, pool, clock, unmatched));
    this.idleSweep =
        loops
            .next()
            .scheduleAtFixedRate(
                this::closeIdle,
                IDLE_SWEEP_PERIOD_MILLIS,
                IDLE_SWEEP_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a request. Failures to send it are reported to the listener, not thrown.
   *
   * @param request the request
   * @param owner the event loop on which the listener is called
   * @param listener receives the answer or the failure
   * @return the exchange, by which its owner can pause, resume or cancel it
   */
  public BackendExchange send(BackendRequest request, EventLoop owner, ExchangeListener listener) {
    ServerConnections connections = pool.of(request.server());
    connections.setMaxOpen(limits.maxConnections(request.server()));
    BackendExchange exchange =
        new BackendExchange(request, connections, owner, listener, dialect, notices);
    try {
      exchange.started(client.executeRequest(toRequest(request, connections), exchange));
    } catch (RuntimeException e) {
      exchange.onThrowable(e);
    }
    return exchange;
  }

  private static Request toRequest(BackendRequest request, ServerConnections connections) {
    Uri uri =
        new Uri(
            SCHEME,
            null,
            request.server().address(),
            request.server().port(),
            request.path(),
            request.query().orElse(null),
            null);
    RequestBuilder builder =
        new RequestBuilder(request.method(), true)
            .setUri(uri)
            .setHeaders(request.headers())
            .setChannelPoolPartitioning(new ConnectionChoice(connections, request.sentOn()));
    if (request.body() instanceof RequestBody.Buffered held) {
      builder.setBody(held.bytes());
    } else if (request.body() instanceof RequestBody.Streamed streamed) {
      builder.setBody(streamed.feed());
    }
    return builder.build();
  }

  /** Returns the number of open connections to all backend servers. */
  public int openConnections() {
    return pool.openConnections();
  }

  /** Returns how many answers were discarded because they belonged to an earlier request. */
  public long staleAnswers() {
    return pool.staleAnswers();
  }

  /** Returns how much input was discarded or refused for a reason. */
  public long unmatchedAnswers(UnmatchedReason reason) {
    return unmatched.count(reason);
  }

  private void closeIdle() {
    pool.closeExpired(clock.millis());
    pool.closeIdleSince(clock.millis() - settings.idleTimeoutMillis());
  }

  @Override
  public void close() {
    idleSweep.cancel(false);
    try {
      client.close();
    } catch (IOException e) {
      Logger.warn(e, "failed to close the HTTP client for backend servers");
    }
  }
}
