package org.wagtailpin.store;

import io.netty.channel.epoll.Epoll;
import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.wagtailpin.transport.PlainTextSslEngineFactory;
import org.wagtailpin.transport.TcpKeepAlive;

/**
 * The HTTP client that calls to the store go through.
 *
 * <p>It never repeats a call by itself, follows no redirect and keeps no cookie, so that one call
 * of {@link Store} is at most one request to the store.
 */
public final class StoreHttpClient implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 64;
  private static final int IO_THREADS = 1;
  private static final long TIMER_TICK_MILLIS = 50;
  private static final long IDLE_CONNECTION_TIMEOUT_MILLIS = 30_000;

  private final HashedWheelTimer timer =
      new HashedWheelTimer(
          new DefaultThreadFactory("store-timer", true), TIMER_TICK_MILLIS, TimeUnit.MILLISECONDS);
  private final AsyncHttpClient client;

  /**
   * Creates a client with its own thread.
   *
   * @param timeouts how long it waits
   */
  public StoreHttpClient(StoreTimeouts timeouts) {
    DefaultAsyncHttpClientConfig.Builder options = new DefaultAsyncHttpClientConfig.Builder();
    TcpKeepAlive.addTo(options);
    AsyncHttpClientConfig config =
        options
            // With HTTP/2 a call beyond the bound of connections sleeps in the thread that makes
            // it.
            .setHttp2Enabled(false)
            .setHttp2CleartextEnabled(false)
            .setMaxRequestRetry(0)
            .setFollowRedirect(false)
            .setCookieStore(null)
            .setCompressionEnforced(false)
            .setKeepAlive(true)
            .setMaxConnections(MAX_CONNECTIONS)
            .setPooledConnectionIdleTimeout(Duration.ofMillis(IDLE_CONNECTION_TIMEOUT_MILLIS))
            .setConnectTimeout(Duration.ofMillis(timeouts.connectMillis()))
            .setRequestTimeout(Duration.ofMillis(timeouts.callMillis()))
            // The whole call has a timeout; one between reads would end a watch that waits.
            .setReadTimeout(Duration.ofMillis(-1))
            .setNettyTimer(timer)
            .setSslEngineFactory(new PlainTextSslEngineFactory())
            .setIoThreadsCount(IO_THREADS)
            .setUseNativeTransport(Epoll.isAvailable())
            .setThreadFactory(new DefaultThreadFactory("store-client", true))
            .build();
    client = Dsl.asyncHttpClient(config);
  }

  /** Returns the client. */
  public AsyncHttpClient client() {
    return client;
  }

  /** Ends the client, its thread and its connections. */
  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException e) {
      throw new UncheckedIOException("closing the store client failed", e);
    } finally {
      timer.stop();
    }
  }
}
