package org.wagtailpin.backend;

import io.netty.channel.Channel;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.AsyncHttpClientConfig.ResponseBodyPartFactory;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.transport.PlainTextSslEngineFactory;
import org.wagtailpin.transport.TcpKeepAlive;

/** Configuration of the AsyncHttpClient that sends requests to backend servers. */
final class BackendClientConfig {

  private static final String HTTP_CODEC_NAME = "http";
  private static final int UNBOUNDED = -1;
  private static final int TIMER_TICK_MILLIS = 1_000;
  private static final Duration DISABLED = Duration.ofMillis(-1);

  private BackendClientConfig() {}

  static AsyncHttpClientConfig of(
      BackendSettings settings,
      EventLoopGroup loops,
      ConnectionPool pool,
      Clock clock,
      UnmatchedAnswers unmatched) {
    DefaultAsyncHttpClientConfig.Builder options = new DefaultAsyncHttpClientConfig.Builder();
    disableRepeats(options);
    disableMessageRewriting(options);
    limitConnections(options, pool);
    disableClientTimeouts(options, settings);
    TcpKeepAlive.addTo(options);
    return options
        .setEventLoopGroup(loops)
        .setTcpNoDelay(true)
        .setSslEngineFactory(new PlainTextSslEngineFactory())
        .setHttpAdditionalChannelInitializer(
            channel -> addHandlers(channel, settings, clock, unmatched))
        .build();
  }

  /** Disables everything that sends a request twice; only the retry policy may repeat requests. */
  private static void disableRepeats(DefaultAsyncHttpClientConfig.Builder options) {
    options
        .setMaxRequestRetry(0)
        .setFollowRedirect(false)
        .setUseProxySelector(false)
        .setUseProxyProperties(false)
        .setHttp2Enabled(false)
        .setHttp2CleartextEnabled(false);
  }

  private static void disableMessageRewriting(DefaultAsyncHttpClientConfig.Builder options) {
    options
        .setEnableAutomaticDecompression(false)
        .setCompressionEnforced(false)
        .setKeepEncodingHeader(true)
        .setCookieStore(null)
        .setUserAgent(null)
        .setDisableUrlEncodingForBoundRequests(true)
        .setValidateResponseHeaders(true)
        .setResponseBodyPartFactory(ResponseBodyPartFactory.LAZY);
  }

  private static void limitConnections(
      DefaultAsyncHttpClientConfig.Builder options, ConnectionPool pool) {
    options
        .setKeepAlive(true)
        .setChannelPool(pool)
        .setConnectionSemaphoreFactory(config -> pool)
        .setMaxConnections(UNBOUNDED)
        .setMaxConnectionsPerHost(UNBOUNDED)
        .setAcquireFreeChannelTimeout(0);
  }

  /**
   * Disables the client's timeouts, except for connecting. Calls run their deadlines on the event
   * loops, with a resolution of 1 ms, so the client's own timer is not needed and ticks rarely.
   */
  private static void disableClientTimeouts(
      DefaultAsyncHttpClientConfig.Builder options, BackendSettings settings) {
    options
        .setConnectTimeout(Duration.ofMillis(settings.connectTimeoutMillis()))
        .setRequestTimeout(DISABLED)
        .setReadTimeout(DISABLED)
        .setConnectionTtl(DISABLED)
        .setPooledConnectionIdleTimeout(DISABLED)
        .setHashedWheelTickDuration(TIMER_TICK_MILLIS)
        .setShutdownQuietPeriod(Duration.ZERO);
  }

  private static void addHandlers(
      Channel channel, BackendSettings settings, Clock clock, UnmatchedAnswers unmatched) {
    // AsyncHttpClient requests each read, and the handler may defer it.
    channel.config().setAutoRead(false);
    BackendConnectionHandler handler = new BackendConnectionHandler(clock, unmatched);
    handler.attach(channel);
    channel
        .pipeline()
        .replace(
            HTTP_CODEC_NAME,
            HTTP_CODEC_NAME,
            new CombinedChannelDuplexHandler<>(
                new AnswerDecoder(handler, settings), new HttpRequestEncoder()));
    channel.pipeline().addAfter(HTTP_CODEC_NAME, "gate", handler);
    channel
        .pipeline()
        .addBefore(
            HTTP_CODEC_NAME,
            "head-guard",
            new AnswerHeadGuard(handler, settings.maxBytesBeforeAnswer()));
  }
}
