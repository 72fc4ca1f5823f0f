package org.wagtailpin.store;

import io.netty.channel.Channel;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.epoll.Epoll;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
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
import org.wagtailpin.transport.ValidStatusDecoder;

/**
 * Configures the HTTP client for calls to the store.
 *
 * <p>The client does not retry requests, follow redirects or keep cookies, so that one call of
 * {@link Store} is at most one request to the store.
 */
public final class StoreHttpClient implements AutoCloseable {

  private static final String HTTP_CODEC_NAME = "http";
  private static final int MAX_CONNECTIONS = 64;
  private static final int IO_THREADS = 1;
  private static final long TIMER_TICK_MILLIS = 50;
  private static final long IDLE_CONNECTION_TIMEOUT_MILLIS = 30_000;

  private final HashedWheelTimer timer =
      new HashedWheelTimer(
          new DefaultThreadFactory("store-timer", true), TIMER_TICK_MILLIS, TimeUnit.MILLISECONDS);
  private final AsyncHttpClient client;

  /**
   * Creates a client with its own I/O thread.
   *
   * @param timeouts the connect timeout and the default request timeout
   */
  public StoreHttpClient(StoreTimeouts timeouts) {
    DefaultAsyncHttpClientConfig.Builder options = new DefaultAsyncHttpClientConfig.Builder();
    TcpKeepAlive.addTo(options);
    AsyncHttpClientConfig config =
        options
            // With HTTP/2, a call beyond the maximum number of connections blocks the calling
            // thread.
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
            // The request timeout covers the whole call. A read timeout would abort waiting
            // watches.
            .setReadTimeout(Duration.ofMillis(-1))
            .setNettyTimer(timer)
            .setSslEngineFactory(new PlainTextSslEngineFactory())
            .setIoThreadsCount(IO_THREADS)
            .setUseNativeTransport(Epoll.isAvailable())
            .setThreadFactory(new DefaultThreadFactory("store-client", true))
            .setHttpAdditionalChannelInitializer(StoreHttpClient::rejectInvalidStatuses)
            .build();
    client = Dsl.asyncHttpClient(config);
  }

  private static void rejectInvalidStatuses(Channel channel) {
    channel
        .pipeline()
        .replace(
            HTTP_CODEC_NAME,
            HTTP_CODEC_NAME,
            new CombinedChannelDuplexHandler<>(
                new ValidStatusDecoder(new HttpDecoderConfig()), new HttpRequestEncoder()));
  }

  /** Returns the HTTP client, which is usable until {@link #close()}. */
  public AsyncHttpClient client() {
    return client;
  }

  /** Closes the client's connections and stops its threads. */
  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException e) {
      throw new UncheckedIOException("failed to close the HTTP client of the store", e);
    } finally {
      timer.stop();
    }
  }
}
